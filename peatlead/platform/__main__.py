"""`python -m peatlead.platform`: one controller on the platform, until SIGTERM.

NODE_CONFIG names its configuration file. Exits with 0 after SIGTERM or SIGINT, with 1 where it
can't start, and with 3 where the planner failed too often.
"""

import sys

# Nothing here uses TLS or OpenSSL's hashes, and asyncio and hashlib do without these modules. They
# would take 5 of the 32 MB that a controller may use, so they are blocked before any other import
# (hence the exceptions from E402, imports at the top, below).
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

STANDARD_ERROR = 2  # file descriptor
EXIT_OK = 0
EXIT_CANNOT_START = 1
EXIT_PLANNER_FAILED = 3


def log(event: str, /, **fields: Any) -> None:
    """Write one JSON object a line to standard error; a reader that is gone is no error."""
    record = {"at": round(time.time(), 3), "event": event, **fields}
    with contextlib.suppress(OSError):
        os.write(STANDARD_ERROR, ENCODER.encode(record) + b"\n")


def log_callback_error(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log a callback that raised; the controller goes on, and deadlines clean up after it."""
    log("callback failed", why=context.get("message"), error=repr(context.get("exception")))


async def serve() -> int:
    """Run the controller and return the exit code."""

    def read() -> Configuration:
        return read_configuration(os.environ, time.time())

    loop = asyncio.get_running_loop()
    loop.set_exception_handler(log_callback_error)
    try:
        configuration = await read_with_retries(read, log)
        controller = PlatformController(configuration, read, log, time.time)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, controller.stop)
        loop.add_signal_handler(signal.SIGHUP, controller.reload)
        await controller.start()
    except (ConfigurationError, OSError) as problem:
        log("cannot start", why=str(problem))
        return EXIT_CANNOT_START
    gc.collect()
    gc.freeze()
    reason = await controller.ended
    return EXIT_OK if reason == STOPPED else EXIT_PLANNER_FAILED


if __name__ == "__main__":
    # Until the event loop handles signals, SIGTERM ends a process that owes nothing yet, and SIGHUP
    # concerns a file that is yet to be read.
    signal.signal(signal.SIGTERM, lambda *_: os._exit(EXIT_OK))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.exit(asyncio.run(serve()))
