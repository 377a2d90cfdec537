from prompt_toolkit import completion
from prompt_toolkit import document

from pomelostair import prompt


def offered_completions(text):
    typed = document.Document(text, len(text))
    event = completion.CompleteEvent()
    found = prompt.SentenceCompleter().get_completions(typed, event)
    return [candidate.text for candidate in found]


class TestSentenceCompleter:
    def test_completes_the_word_that_is_being_typed(self):
        assert offered_completions("dr") == ["drain", "drains"]

    def test_offers_what_may_follow(self):
        assert offered_completions("drain ") == ["minion", "worker"]
        assert offered_completions("stop site within 20 ") == [
            "h",
            "m",
            "ms",
            "s",
        ]

    def test_offers_nothing_after_nonsense(self):
        assert offered_completions("nonsense ") == []
