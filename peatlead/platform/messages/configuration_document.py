"""The JSON format of the configuration file of a controller on the platform."""

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field, json

from .errors import MalformedMessageError


class Limits(Struct, frozen=True):
    """Limits of the process.

    `sockets` is the maximum number of open file descriptors, and `memory_mb` the maximum memory, in
    MiB, above which the platform kills the process.
    """

    sockets: Annotated[int, Meta(ge=32)] = 1024
    memory_mb: Annotated[float, Meta(gt=0)] = 192.0


class ConfigurationDocument(Struct):
    """The fields of the configuration file; only their types have been checked.

    `listen` and `discovery` are ADDRESS:PORT, and `seed` is hexadecimal. `remembered_list` is the
    last endpoint list that this controller received, in the JSON format of discovery's answers; it
    is empty if the file contains no list.
    """

    name: str
    listen: str
    discovery: str
    settings: dict[Any, Any]
    seed: str = "0"
    remembered_list: msgspec.Raw = field(name="known", default=msgspec.Raw())
    limits: Limits = Limits()


def read_configuration_document(data: bytes) -> ConfigurationDocument:
    """Parse the contents of a configuration file. Raises MalformedMessageError."""
    try:
        return json.decode(data, type=ConfigurationDocument)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessageError(f"not a configuration: {error}") from None
