"""Exceptions of the package; each message names the remedy."""


class PomelostairError(Exception):
    """Base of every exception that the package raises."""


class SettingsError(PomelostairError):
    """A settings file can't be used.

    Args:
        key: Dotted path of the offending key, `$` for the whole document.
        value: The value that was found there.
        remedy: What to change, as a sentence.
    """

    def __init__(self, key: str, value: object, remedy: str):
        super().__init__(f"setting {key} = {value!r}: {remedy}")
        self.key = key
        self.value = value
        self.remedy = remedy


class CommandError(PomelostairError):
    """A sentence of the command language can't be used.

    Args:
        word: The offending word, empty for the end of the sentence.
        column: Its first character, counted from 1.
        remedy: What to write there, as a sentence.
    """

    def __init__(self, word: str, column: int, remedy: str):
        place = f"at {word!r}" if word else "at the end"
        super().__init__(f"column {column}, {place}: {remedy}")
        self.word = word
        self.column = column
        self.remedy = remedy


class MessageError(PomelostairError):
    """Bytes from a peer are not a message of a known type."""


class HttpError(PomelostairError):
    """A request over HTTP is malformed or over a limit.

    Args:
        status: HTTP status to answer with.
        kind: Machine-readable kind of the refusal.
        message: Sentence that names the remedy.
    """

    def __init__(self, status: int, kind: str, message: str):
        super().__init__(message)
        self.status = status
        self.kind = kind


class NotSentError(PomelostairError):
    """A request certainly never reached its server."""


class AnswerLostError(PomelostairError):
    """A request may have reached its server, but no whole answer came."""


class StartError(PomelostairError):
    """A daemon can't start with its settings on this host."""


class PluginError(PomelostairError):
    """The plug-ins of a program can't be wired together."""
