"""Recording of the controllers' feeds: each message that left a controller's channel."""

import asyncio
from collections.abc import Callable

import msgspec

from ..controller.control_socket import ControlClient
from .endpoint_list_file import RowRecorder
from .processes import ChildProcess

RECONNECT_AFTER = 0.02  # seconds


class ControllerFeeds:
    """The feeds that are open, and where their messages are recorded."""

    def __init__(self, record: RowRecorder) -> None:
        self._record = record
        self._streams: dict[int, ControlClient] = {}  # by the controller's number
        self._closed = False

    async def follow(self, number: int, child: ChildProcess, address: tuple[str, int]) -> None:
        """Read a controller's feed as long as its process lives."""
        while child.poll() is None:
            try:
                _, stream = await asyncio.get_running_loop().create_connection(
                    _client(self._record_message), *address
                )
                self._streams[number] = stream
                await stream.over
            except OSError:
                await asyncio.sleep(RECONNECT_AFTER)

    def close(self) -> None:
        """End all feeds; what still arrives is not recorded."""
        for stream in self._streams.values():
            stream.abort("the day is over")
        self._closed = True

    def _record_message(self, data: bytes) -> None:
        message = msgspec.json.decode(data)
        if "view" in message and not self._closed:
            self._record.row(
                "message",
                message["at"],
                message["steward"],
                message["view"],
                message["lines"],
                message["waiting"],
                message["most"],
                message["held"],
            )


def _client(take: Callable[[bytes], None]) -> Callable[[], ControlClient]:
    return lambda: ControlClient({"ask": "feed"}, take)
