"""Steps of the start that are retried after transient errors.

Transient errors are, for example, a shortage of file descriptors or memory, or a listening address
that is still in use.
"""

import asyncio
from collections.abc import Callable

from ..net.errors import is_transient
from .configuration import Configuration, ConfigurationError
from .messages import Address
from .session_listener import SessionListener
from .shared_types import Log

START_TIMEOUT = 20.0  # seconds; afterwards, transient errors are raised too
READ_RETRY_DELAY = 0.5  # seconds between attempts to read the configuration
# Seconds between attempts to listen; the delay doubles after each attempt.
INITIAL_LISTEN_RETRY_DELAY = 0.05
MAX_LISTEN_RETRY_DELAY = 0.5


async def read_with_retries(
    read_configuration: Callable[[], Configuration], log: Log
) -> Configuration:
    """Read the configuration; retry after transient errors. Raises ConfigurationError."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + START_TIMEOUT
    while True:
        try:
            return read_configuration()
        except ConfigurationError as error:
            if not error.transient or loop.time() > deadline:
                raise
            log("configuration not readable, will retry", why=str(error))
        await asyncio.sleep(READ_RETRY_DELAY)


async def open_with_retries(
    listener: SessionListener, address: Address, is_stopping: Callable[[], bool], log: Log
) -> None:
    """Open the listener; retry after transient errors. Raises OSError."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + START_TIMEOUT
    retry_delay = INITIAL_LISTEN_RETRY_DELAY
    while not is_stopping():
        try:
            await listener.open(address)
            return
        except OSError as error:
            if not is_transient(error) or loop.time() > deadline:
                raise
            log("listening failed, will retry", why=error.strerror, wait=retry_delay)
        await asyncio.sleep(retry_delay)
        retry_delay = min(MAX_LISTEN_RETRY_DELAY, 2 * retry_delay)
