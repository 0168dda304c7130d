"""Errors of the platform's messages."""


class MessageError(ValueError):
    """A message can't be used; its text is a sentence for the sender."""


class MalformedMessageError(MessageError):
    """The bytes are no message, not even a JSON object. What follows on that stream is lost too."""


class InvalidFieldError(MessageError):
    """A field, which may be the message's type, is invalid; the messages around it are good."""
