import asyncio
import unittest

from peatlead.net import http
from peatlead.net.http import Exchange, RequestFailedError, Server, write_message
from peatlead.net.in_memory_transport import InMemoryTransport


class ConnectionSet(Server):
    """Answers when it is told to."""

    def __init__(self):
        super().__init__(0.0)
        self.served = []

    def serve(self, *req):
        self.served.append(req)


class Reqs(unittest.IsolatedAsyncioTestCase):
    def start(self):
        server, wire = ConnectionSet(), InMemoryTransport()
        server.connection_made(wire)
        return server, wire

    async def test_a_req_in_pieces_is_one_req(self):
        server, _ = self.start()
        for at in range(
            len(whole := b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
        ):
            server.received(whole[at : at + 1])
        self.assertEqual(
            server.served, [("POST", "/a", {"host": "x", "content-length": "3"}, b"abc")]
        )

    async def test_reqs_sent_ahead_are_served_one_after_the_other(self):
        server, wire = self.start()
        server.received(b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual([path for _, path, _, _ in server.served], ["/1"])
        server.answer(200, [], b"one")
        await asyncio.sleep(0)
        self.assertEqual([path for _, path, _, _ in server.served], ["/1", "/2"])
        server.answer(200, [], b"two", last=True)
        self.assertTrue(wire.closed)
        self.assertLess(wire.out.index(b"one"), wire.out.index(b"two"))

    async def test_too_many_sent_ahead_are_refused_after_the_one_in_work(self):
        server, wire = self.start()
        server.received(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * (http.AHEAD_MOST + 3))
        self.assertEqual((len(server.served), wire.out), (1, b""))
        for _ in range(http.AHEAD_MOST):
            server.answer(200, [], b"")
            await asyncio.sleep(0)
        self.assertTrue(wire.closed)
        self.assertEqual(
            [wire.out.count(b"HTTP/1.1 %d" % status) for status in (200, 429)], [http.AHEAD_MOST, 1]
        )

    async def test_what_is_out_of_bounds_is_refused_by_name(self):
        long = b"x: " + b"y" * 3000 + b"\r\n"
        for said, status in (
            (b"GET / HTTP/1.1\r\n\r\n", 400),
            (b"nonsense\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nHost: x\r\n" + long * 30, 431),
            (b"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400),
            (
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nab",
                400,
            ),
            (
                b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"
                b"0\r\n\r\n",
                400,
            ),
            (b"GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n", 501),
        ):
            server, wire = self.start()
            server.received(said)
            self.assertEqual(wire.out.split(b" ")[1:2], [b"%d" % status], said[:60])
            self.assertTrue(wire.closed)

    async def test_a_body_past_its_bound_is_not_kept(self):
        server, wire = self.start()
        server.received(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (http.BODY_MOST + 1)
        )
        for _ in range(http.BODY_MOST // 65536 + 1):
            server.received(b"z" * 65536)
        self.assertTrue(wire.out.startswith(b"HTTP/1.1 413"))
        self.assertEqual(server.served, [])


class Answers(unittest.IsolatedAsyncioTestCase):
    async def ask(self, *answers, deadline=1.0):
        exchange, wire = Exchange(), InMemoryTransport()
        exchange.connection_made(wire)
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            exchange.ask("GET", "/", [("host", "x")], b"", loop.time() + deadline)
        )
        await asyncio.sleep(0)
        for data in answers:
            exchange.received(data)
        return exchange, task

    async def test_an_answer_and_the_next_on_one_connection(self):
        exchange, task = await self.ask(
            b"HTTP/1.1 200 OK\r\nA: b\r\nContent-Le", b"ngth: 2\r\n\r\nhi"
        )
        answer = await task
        self.assertEqual(
            (answer.status, answer.headers["a"], answer.body, answer.keep), (200, "b", b"hi", True)
        )
        loop = asyncio.get_running_loop()
        task = loop.create_task(exchange.ask("GET", "/", [("host", "x")], b"", loop.time() + 1))
        await asyncio.sleep(0)
        exchange.received(b"HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(((await task).status, exchange.usable), (503, False))

    async def test_an_answer_that_nobody_asked_for_is_not_the_next_ones(self):
        exchange, task = await self.ask(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await task
        exchange.received(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
        self.assertFalse(exchange.usable)

    async def test_no_answer_in_time_and_no_http(self):
        _, task = await self.ask(deadline=0.01)
        with self.assertRaises(RequestFailedError) as late:
            await task
        self.assertEqual((late.exception.outcome, late.exception.sent), ("timed out", True))
        _, task = await self.ask(b"SSH-2.0\r\n")
        with self.assertRaises(RequestFailedError) as odd:
            await task
        self.assertEqual(odd.exception.outcome, "broken")

    async def test_a_value_cannot_bring_a_line_of_its_own(self):
        for value in ("a\r\nreq-id: 2", "a\nb", "a\rb"):
            with self.assertRaises(ValueError):
                write_message("GET / HTTP/1.1", [("host", value)], b"")
