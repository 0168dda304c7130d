"""The configuration file of a controller on the platform, as JSON."""

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field, json

from .errors import MalformedMessageError


class Limits(Struct, frozen=True):
    """What the process may use; `sockets` are file descriptors."""

    sockets: Annotated[int, Meta(ge=32)] = 1024


class ConfigurationDocument(Struct):
    """The file's fields, of the right types but not checked further.

    `listen` and `discovery` are ADDRESS:PORT; `seed` is hexadecimal; `remembered_list` is the
    endpoint list as this controller last had it, as discovery writes lists, and empty where there
    is none.
    """

    name: str
    listen: str
    discovery: str
    settings: dict[Any, Any]
    seed: str = "0"
    remembered_list: msgspec.Raw = field(name="known", default=msgspec.Raw())
    limits: Limits = Limits()


def read_configuration_document(data: bytes) -> ConfigurationDocument:
    """Parse the file. Raises MalformedMessageError."""
    try:
        return json.decode(data, type=ConfigurationDocument)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as problem:
        raise MalformedMessageError(f"not a configuration: {problem}") from None
