"""Exceptions for messages that can't be used."""


class MessageError(ValueError):
    """A message can't be used. The exception's text is written for the message's sender."""


class MalformedMessageError(MessageError):
    """The bytes can't be parsed as a message; the rest of their stream can't be used either."""


class InvalidFieldError(MessageError):
    """A message has an invalid type or field; later messages of the stream can be used."""
