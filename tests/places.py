"""Settings and small worlds that tests build on."""

import asyncio

from peatlead.settings import load_settings

SCRIPT = """
zone(name = "north")
zone(name = "south")
dns(zone = "example.org", port = {port}, lifetime = 1, trusted_resolvers = ["192.0.2.0/24"], open_views = 4)
limits(drain_grace = 3, bare_most = 4, cold_share = 0.25, warm_after = 12, tip_multiple = 3, tip_span = 1.5)
node_list(path = "{path}", every = 0.02, patience = 0.1)
probes(port = {port}, deadline = 0.15)
choices(gone_is_advice = True, sums_every = 0.2)
request_kind(name = "look", response_target = 0.5, client_timeout = 1.5, gain = 2, repeat = "replayable")
request_kind(name = "file", response_target = 0.5, client_timeout = 1.5, gain = 6, repeat = "non-replayable")
service(label = "api", kinds = ["look", "file"])
steward(name = "ns1", zone = "north", listen = "127.1.0.1:{port}", control = "127.1.0.1:{control}")
steward(name = "ns2", zone = "south", listen = "127.1.0.2:{port}", control = "127.1.0.2:{control}")
view(name = "desk0", zone = "north", networks = ["10.1.0.0/24"], resolvers = ["10.9.0.1"])
view(name = "desk1", zone = "south", networks = ["10.2.0.0/24", "2001:db8:2::/48"])
"""


def settings(port=5300, path="/nowhere/nodes.json", script=SCRIPT, more=""):
    return load_settings("test.star", script.format(port=port, control=port + 1, path=path) + more)


def run(case, deadline=20.0):
    """Runs a coroutine on a loop of its own; an exception in any callback fails the test."""
    wrong = []

    async def whole():
        asyncio.get_running_loop().set_exception_handler(lambda _, context: wrong.append(context))
        return await asyncio.wait_for(case, deadline)

    found = asyncio.run(whole())
    if wrong:
        raise AssertionError(wrong)
    return found


async def until(true, deadline=8.0):
    """Waits for a condition; how long it takes is never asserted."""
    loop = asyncio.get_running_loop()
    end = loop.time() + deadline
    while not true():
        if loop.time() > end:
            raise AssertionError("it did not come true")
        await asyncio.sleep(0.01)
