"""Reading of a controller's configuration, from the file whose path is in NODE_CONFIG.

The file is read at the start and again after SIGHUP. All fields are validated before anything is
opened; `ConfigurationError` names the invalid field and says what was expected.
"""

from collections.abc import Mapping
from typing import NamedTuple, Optional

from ..interface import ListScope
from ..net.errors import is_transient
from ..sources.endpoint_list import EndpointList
from ..wire.settings import settings_from_environment
from .messages import (
    Address,
    ConfigurationDocument,
    read_address,
    read_configuration_document,
    read_endpoint_list,
)
from .settings_validation import DEFAULT_SETTINGS, settings_errors
from .shared_types import Settings

PATH_VARIABLE = "NODE_CONFIG"
MEBIBYTE = 1 << 20
DEFAULT_MEMORY = 192 * MEBIBYTE  # bytes


class ConfigurationError(Exception):
    """The configuration can't be read or is invalid; if `transient`, a retry may succeed."""

    def __init__(self, reason: str, transient: bool = False) -> None:
        super().__init__(reason)
        self.transient = transient


class Configuration(NamedTuple):
    """A valid configuration.

    `sockets` is the maximum number of open file descriptors, `memory` the maximum memory of the
    process in bytes, `settings` are the planner's settings, and `remembered_list` is the last
    endpoint list that this controller received.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: Settings
    remembered_list: Optional[EndpointList]
    memory: int = DEFAULT_MEMORY


def read_configuration(environ: Mapping[str, str], unix_time: float) -> Configuration:
    """Read and validate the configuration file. Raises ConfigurationError."""
    path = environ.get(PATH_VARIABLE)
    if not path:
        raise ConfigurationError(
            f"{PATH_VARIABLE}: not set, expected the path of the configuration file"
        )
    data = read_file(path)
    try:
        document = read_configuration_document(data)
        remembered_list = read_remembered_list(document, unix_time)
        listen = read_address(document.listen)
        discovery = read_address(document.discovery)
        seed = int(document.seed, 16)
    except ValueError as error:  # includes MalformedMessageError
        raise ConfigurationError(f"{path}: {error}") from None
    return Configuration(
        name=document.name,
        listen=listen,
        discovery=discovery,
        seed=seed,
        sockets=document.limits.sockets,
        settings=read_settings(document, path),
        remembered_list=remembered_list,
        memory=int(document.limits.memory_mb * MEBIBYTE),
    )


def read_file(path: str) -> bytes:
    """Return the contents of the file. Raises ConfigurationError."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}", is_transient(error)) from None


def read_remembered_list(
    document: ConfigurationDocument, unix_time: float
) -> Optional[EndpointList]:
    """Parse the file's endpoint list, if it contains one. Raises MalformedMessageError."""
    if not bytes(document.remembered_list):
        return None
    endpoint_list = read_endpoint_list(bytes(document.remembered_list), unix_time)
    return endpoint_list._replace(scope=ListScope.REMEMBERED)


def read_settings(document: ConfigurationDocument, path: str) -> Settings:
    """Return the planner's settings, including defaults. Raises ConfigurationError."""
    try:
        given_settings = settings_from_environment(document.settings)
        settings: Settings = {
            **DEFAULT_SETTINGS,
            **{name: value for name, value in given_settings.items() if value is not None},
        }
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise ConfigurationError(f"{path}: settings: {error!r}") from None
    errors = settings_errors(settings)
    if errors:
        raise ConfigurationError(f"{path}: settings: {errors[0]}")
    return settings
