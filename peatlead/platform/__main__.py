"""`python -m peatlead.platform`: runs one controller on the platform until SIGTERM or SIGINT.

The environment variable NODE_CONFIG contains the path of the configuration file. The exit code is 0
after SIGTERM or SIGINT, 1 if the controller can't start, and 3 if the planner failed too often.
"""

import sys

# Blocks the import of OpenSSL's modules, which would take 5 of the 32 MB that a controller may use.
# The controller needs neither TLS nor OpenSSL's hashes, and asyncio and hashlib work without these
# modules. The block must precede all other imports, which therefore need `noqa: E402`.
sys.modules["ssl"] = None  # type: ignore[assignment]
sys.modules["_hashlib"] = None  # type: ignore[assignment]

import asyncio  # noqa: E402
import contextlib  # noqa: E402
import gc  # noqa: E402
import os  # noqa: E402
import signal  # noqa: E402
import time  # noqa: E402
from typing import Any  # noqa: E402

from .configuration import Configuration, ConfigurationError, read_configuration  # noqa: E402
from .controller import STOPPED, PlatformController  # noqa: E402
from .messages import ENCODER  # noqa: E402
from .startup import read_with_retries  # noqa: E402

STDERR_FD = 2  # file descriptor
EXIT_OK = 0
EXIT_CANNOT_START = 1
EXIT_PLANNER_FAILED = 3


def log(event: str, /, **fields: Any) -> None:
    """Write a log event to standard error as a line of JSON; write errors are ignored."""
    record = {"at": round(time.time(), 3), "event": event, **fields}
    with contextlib.suppress(OSError):
        os.write(STDERR_FD, ENCODER.encode(record) + b"\n")


def log_callback_exception(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an exception in a callback of the event loop; the controller continues."""
    log("callback failed", why=context.get("message"), error=repr(context.get("exception")))


async def serve() -> int:
    """Run the controller and return the exit code."""

    def read_current_configuration() -> Configuration:
        return read_configuration(os.environ, time.time())

    loop = asyncio.get_running_loop()
    loop.set_exception_handler(log_callback_exception)
    try:
        configuration = await read_with_retries(read_current_configuration, log)
        controller = PlatformController(configuration, read_current_configuration, log, time.time)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, controller.stop)
        loop.add_signal_handler(signal.SIGHUP, controller.reload)
        await controller.start()
    except (ConfigurationError, OSError) as error:
        log("cannot start", why=str(error))
        return EXIT_CANNOT_START
    gc.collect()
    gc.freeze()
    reason = await controller.ended
    return EXIT_OK if reason == STOPPED else EXIT_PLANNER_FAILED


if __name__ == "__main__":
    # These handlers apply until the event loop handles signals. On SIGTERM the process can exit at
    # once, since it has no connections yet. SIGHUP is ignored, since the configuration has not been
    # read yet.
    signal.signal(signal.SIGTERM, lambda *_: os._exit(EXIT_OK))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.exit(asyncio.run(serve()))
