"""Recording of the controllers' feeds.

A feed is a stream on the control socket that reports each message that left a controller's channel.
"""

import asyncio
from collections.abc import Callable

import msgspec

from ..controller.control_socket import ControlClient
from .endpoint_list_file import RowRecorder
from .processes import ChildProcess

RECONNECT_DELAY = 0.02  # seconds


class ControllerFeeds:
    """Follows the feeds of controllers and records their messages."""

    def __init__(self, recorder: RowRecorder) -> None:
        self._recorder = recorder
        self._streams: dict[int, ControlClient] = {}  # by controller number
        self._closed = False

    async def follow(self, number: int, child: ChildProcess, address: tuple[str, int]) -> None:
        """Read the feed at an address, reconnecting until the controller's process ends."""
        while child.poll() is None:
            try:
                _, stream = await asyncio.get_running_loop().create_connection(
                    _feed_client(self._record_message), *address
                )
                self._streams[number] = stream
                await stream.end_reason
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY)

    def close(self) -> None:
        """Close all feeds. Messages that still arrive are not recorded."""
        for stream in self._streams.values():
            stream.abort("the day is over")
        self._closed = True

    def _record_message(self, data: bytes) -> None:
        message = msgspec.json.decode(data)
        if "view" in message and not self._closed:
            self._recorder.write_row(
                "message",
                message["at"],
                message["steward"],
                message["view"],
                message["lines"],
                message["waiting"],
                message["most"],
                message["held"],
            )


def _feed_client(on_message: Callable[[bytes], None]) -> Callable[[], ControlClient]:
    return lambda: ControlClient({"ask": "feed"}, on_message)
