"""Steps of the start that are tried again after errors that may pass.

A shortage of descriptors or memory, or an address that is still in use, is no reason to run without
a controller.
"""

import asyncio
from collections.abc import Callable

from ..net.errors import is_transient
from .configuration import Configuration, ConfigurationError
from .messages import Address
from .session_listener import SessionListener
from .shared_types import Log

START_TIMEOUT = 20.0  # seconds after which an error is final
READ_RETRY_DELAY = 0.5  # seconds between attempts to read the configuration
# Seconds between attempts to listen, doubled each time, up to the limit.
LISTEN_RETRY_DELAY = 0.05
LISTEN_RETRY_DELAY_LIMIT = 0.5


async def read_with_retries(read: Callable[[], Configuration], log: Log) -> Configuration:
    """Read the configuration, trying again after a transient error. Raises ConfigurationError."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + START_TIMEOUT
    while True:
        try:
            return read()
        except ConfigurationError as problem:
            if not problem.transient or loop.time() > deadline:
                raise
            log("configuration put off", why=str(problem))
        await asyncio.sleep(READ_RETRY_DELAY)


async def open_with_retries(
    listener: SessionListener, address: Address, is_stopping: Callable[[], bool], log: Log
) -> None:
    """Open the listener, trying again after a transient error. Raises OSError."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + START_TIMEOUT
    delay = LISTEN_RETRY_DELAY
    while not is_stopping():
        try:
            await listener.open(address)
            return
        except OSError as problem:
            if not is_transient(problem) or loop.time() > deadline:
                raise
            log("listener put off", why=problem.strerror, wait=delay)
        await asyncio.sleep(delay)
        delay = min(LISTEN_RETRY_DELAY_LIMIT, 2 * delay)
