"""Exceptions of the package; their messages tell the user what to do."""


class PomelostairError(Exception):
    """Base class of all exceptions that the package defines."""


class SettingsError(PomelostairError):
    """A settings file is invalid.

    Args:
        key: Dotted path of the invalid key, `$` for the whole document.
        value: The invalid value.
        remedy: What to change, as a sentence.
    """

    def __init__(self, key: str, value: object, remedy: str):
        super().__init__(f"setting {key} = {value!r}: {remedy}")
        self.key = key
        self.value = value
        self.remedy = remedy


class CommandError(PomelostairError):
    """An operator command can't be parsed.

    Args:
        word: The unexpected word, empty at the end of the command.
        column: Column of its first character, counted from 1.
        remedy: What to write there, as a sentence.
    """

    def __init__(self, word: str, column: int, remedy: str):
        place = f"at {word!r}" if word else "at the end"
        super().__init__(f"column {column}, {place}: {remedy}")
        self.word = word
        self.column = column
        self.remedy = remedy


class MessageError(PomelostairError):
    """Bytes could not be decoded as a message of the expected type."""


class HttpError(PomelostairError):
    """An HTTP request is malformed or exceeds a limit.

    Args:
        status: HTTP status of the response.
        kind: Machine-readable kind of the error.
        message: What to change, as a sentence.
    """

    def __init__(self, status: int, kind: str, message: str):
        super().__init__(message)
        self.status = status
        self.kind = kind


class NotSentError(PomelostairError):
    """A request was certainly not received by the server."""


class NoListenerError(NotSentError):
    """No process listens at the address of the server."""


class AnswerLostError(PomelostairError):
    """A request may have been processed, but its response is incomplete."""


class StartError(PomelostairError):
    """A daemon can't start with the given settings on this host."""


class PluginError(PomelostairError):
    """The dependencies between plug-ins can't be resolved."""
