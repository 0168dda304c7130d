"""Objects that exist once for each event loop.

They are stored on the loop itself: they refer to their loop, so a table of them would keep every
loop alive.
"""

import asyncio
from collections.abc import Callable
from typing import TypeVar, cast

State = TypeVar("State")


def loop_state(loop: asyncio.AbstractEventLoop, name: str, create: Callable[[], State]) -> State:
    """Return the object with a name that belongs to a loop; create it on first use."""
    attribute = f"_peatlead_{name}"
    state = getattr(loop, attribute, None)
    if state is None:
        state = create()
        setattr(loop, attribute, state)
    return cast(State, state)
