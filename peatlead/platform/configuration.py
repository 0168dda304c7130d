"""The configuration of a controller on the platform: the file that NODE_CONFIG names.

It is read at the start and again at SIGHUP. Every field is checked before anything is opened;
`ConfigurationError` says which one is wrong and what was expected.
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


class ConfigurationError(Exception):
    """There is no valid configuration; `transient`: the file may be readable a moment later."""

    def __init__(self, reason: str, transient: bool = False) -> None:
        super().__init__(reason)
        self.transient = transient


class Configuration(NamedTuple):
    """A valid configuration.

    `sockets`: file descriptors that the process may hold; `settings`: the planner's;
    `remembered_list`: the endpoint list as this controller last had it.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: Settings
    remembered_list: Optional[EndpointList]


def read_configuration(environ: Mapping[str, str], unix_time: float) -> Configuration:
    """Read and check the file. Raises ConfigurationError."""
    path = environ.get(PATH_VARIABLE)
    if not path:
        raise ConfigurationError(
            f"{PATH_VARIABLE}: expected the path of a configuration, it is not set"
        )
    data = read_file(path)
    try:
        document = read_configuration_document(data)
        remembered_list = remembered_list_of(document, unix_time)
        listen = read_address(document.listen)
        discovery = read_address(document.discovery)
        seed = int(document.seed, 16)
    except ValueError as problem:  # malformed messages among them
        raise ConfigurationError(f"{path}: {problem}") from None
    return Configuration(
        name=document.name,
        listen=listen,
        discovery=discovery,
        seed=seed,
        sockets=document.limits.sockets,
        settings=settings_of(document, path),
        remembered_list=remembered_list,
    )


def read_file(path: str) -> bytes:
    """Return the file's bytes. Raises ConfigurationError."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as problem:
        raise ConfigurationError(f"{path}: {problem.strerror}", is_transient(problem)) from None


def remembered_list_of(document: ConfigurationDocument, unix_time: float) -> Optional[EndpointList]:
    """Return the stored endpoint list, if there is one. Raises MalformedMessageError."""
    if not bytes(document.remembered_list):
        return None
    endpoint_list = read_endpoint_list(bytes(document.remembered_list), unix_time)
    return endpoint_list._replace(scope=ListScope.REMEMBERED)


def settings_of(document: ConfigurationDocument, path: str) -> Settings:
    """Return the planner's settings, with defaults. Raises ConfigurationError."""
    try:
        given = settings_from_environment(document.settings)
        settings: Settings = {
            **DEFAULT_SETTINGS,
            **{name: value for name, value in given.items() if value is not None},
        }
    except (AttributeError, KeyError, TypeError, ValueError) as problem:
        raise ConfigurationError(f"{path}: settings: {problem!r}") from None
    errors = settings_errors(settings)
    if errors:
        raise ConfigurationError(f"{path}: settings: {errors[0]}")
    return settings
