"""The interactive prompt of the command-line tool."""

from collections.abc import Callable
from collections.abc import Iterable
import pathlib

import prompt_toolkit
from prompt_toolkit import completion
from prompt_toolkit import history

from pomelostair import command

HISTORY_PATH = pathlib.Path("~/.pomelostair_history")
PROMPT = "pomelostair> "
EXIT_WORDS = ("exit", "quit")


class SentenceCompleter(completion.Completer):
    """Completes words that the command language allows next."""

    def get_completions(
        self, document, complete_event
    ) -> Iterable[completion.Completion]:
        """Returns completions of the word before the cursor."""
        text = document.text_before_cursor
        word = document.get_word_before_cursor(WORD=True)
        preceding = text[: len(text) - len(word)]
        for candidate in command.complete(preceding):
            if candidate.startswith(word):
                yield completion.Completion(candidate, -len(word))


def run(execute: Callable[[str], int]) -> int:
    """Reads and runs sentences until the end of input, `exit` or `quit`.

    Args:
        execute: Runs one sentence and returns its exit code.

    Returns:
        The exit code of the last sentence.
    """
    session = prompt_toolkit.PromptSession(
        history=_history(), completer=SentenceCompleter()
    )
    exit_code = 0
    while True:
        try:
            text = session.prompt(PROMPT).strip()
        except KeyboardInterrupt:
            continue
        except EOFError:
            return exit_code
        if text in EXIT_WORDS:
            return exit_code
        if text:
            exit_code = execute(text)


def _history() -> history.History:
    path = HISTORY_PATH.expanduser()
    try:
        path.touch(mode=0o600)
    except OSError:
        return history.InMemoryHistory()
    return history.FileHistory(str(path))
