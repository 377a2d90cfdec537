"""The interactive prompt of the command-line tool."""

from collections.abc import Callable
from collections.abc import Iterable
import pathlib

import prompt_toolkit
from prompt_toolkit import completion
from prompt_toolkit import history

from pomelostair import command

HISTORY = pathlib.Path("~/.pomelostair_history")
PROMPT = "pomelostair> "
LEAVE = ("exit", "quit")


class SentenceCompleter(completion.Completer):
    """Offers the words that the grammar allows next."""

    def get_completions(
        self, document, complete_event
    ) -> Iterable[completion.Completion]:
        """Returns completions of the word before the cursor."""
        text = document.text_before_cursor
        word = document.get_word_before_cursor(WORD=True)
        before = text[: len(text) - len(word)]
        for candidate in command.complete(before):
            if candidate.startswith(word):
                yield completion.Completion(candidate, -len(word))


def run(execute: Callable[[str], int]) -> int:
    """Reads sentences until the end of input.

    Args:
        execute: Runs one sentence and returns its exit code.

    Returns:
        The exit code of the last sentence.
    """
    session = prompt_toolkit.PromptSession(
        history=_history(), completer=SentenceCompleter()
    )
    code = 0
    while True:
        try:
            text = session.prompt(PROMPT).strip()
        except KeyboardInterrupt:
            continue
        except EOFError:
            return code
        if text in LEAVE:
            return code
        if text:
            code = execute(text)


def _history() -> history.History:
    path = HISTORY.expanduser()
    try:
        path.touch(mode=0o600)
    except OSError:
        return history.InMemoryHistory()
    return history.FileHistory(str(path))
