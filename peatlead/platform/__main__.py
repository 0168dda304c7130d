"""`python -m peatlead.platform`: one steward on the platform, as NODE_CONFIG tells it, until SIGTERM.

Exit 0 after SIGTERM or SIGINT, 1 where it can't start, 3 where a decide raised.
"""

import sys

# Nothing here speaks TLS or hashes by OpenSSL: asyncio and hashlib do without where it is missing. It would take
# 5 of the 32 MB that a steward may have.
sys.modules["ssl"] = sys.modules["_hashlib"] = None

import asyncio  # noqa: E402
import gc  # noqa: E402
import os  # noqa: E402
import signal  # noqa: E402
import time  # noqa: E402

from .configuration import ConfigurationError  # noqa: E402
from .controller import START_AGAIN_MOST, START_WITHIN, PlatformController, reader  # noqa: E402
from .messages import ENCODER  # noqa: E402


def log(event, **fields):
    """One JSON object a line on standard error; a reader that is gone does not end the steward."""
    try:
        os.write(2, ENCODER.encode({"at": round(time.time(), 3), "event": event, **fields}) + b"\n")
    except OSError:
        pass


def at_fault(_, context):
    """A callback raised: one line, and the steward goes on; what the callback served has its deadlines."""
    log("callback failed", why=context.get("message"), error=repr(context.get("exception")))


async def read_patiently(read, loop):
    """The configuration; a file that can't be read now is tried again for a while. Raises ConfigurationError."""
    deadline = loop.time() + START_WITHIN
    while True:
        try:
            return read()
        except ConfigurationError as problem:
            if not problem.transient or loop.time() > deadline:
                raise
            log("configuration put off", why=str(problem))
        await asyncio.sleep(START_AGAIN_MOST)


async def serve():
    read, loop = reader(os.environ, time.time), asyncio.get_running_loop()
    loop.set_exception_handler(at_fault)
    try:
        node = PlatformController(await read_patiently(read, loop), read, log, time.time)
        for one in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(one, node.stop)
        loop.add_signal_handler(signal.SIGHUP, node.reload)
        await node.start()
    except (ConfigurationError, OSError) as problem:
        log("cannot start", why=str(problem))
        return 1
    gc.collect()
    gc.freeze()
    return 0 if await node.ended == "stopped" else 3


if __name__ == "__main__":
    # Until the loop hears them, SIGTERM finds nothing that is owed, and SIGHUP a file that is yet to be read.
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.exit(asyncio.run(serve()))
