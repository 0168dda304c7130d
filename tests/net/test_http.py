"""HTTP/1.1 requests received by a server, and responses received by a client."""

import asyncio
import tracemalloc
import unittest

from peatlead.health.prober import MAX_RESPONSE_BYTES
from peatlead.net import http
from peatlead.net.http import ClientConnection, RequestFailedError, ServerConnection, encode_message
from peatlead.net.in_memory_transport import InMemoryTransport


class RecordingServer(ServerConnection):
    """Records requests; the tests respond to them."""

    def __init__(self):
        super().__init__(0.0)
        self.served = []

    def serve(self, *request):
        self.served.append(request)


class ServerConnectionTest(unittest.IsolatedAsyncioTestCase):
    def start(self):
        server, transport = RecordingServer(), InMemoryTransport()
        server.connection_made(transport)
        return server, transport

    async def test_a_request_received_byte_by_byte_is_served_once(self):
        server, _ = self.start()
        request = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
        for index in range(len(request)):
            server.received(request[index : index + 1])
        self.assertEqual(
            server.served, [("POST", "/a", {"host": "x", "content-length": "3"}, b"abc")]
        )

    async def test_pipelined_requests_are_served_one_after_the_other(self):
        server, transport = self.start()
        server.received(b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual([path for _, path, _, _ in server.served], ["/1"])
        server.respond(200, [], b"one")
        await asyncio.sleep(0)
        self.assertEqual([path for _, path, _, _ in server.served], ["/1", "/2"])
        server.respond(200, [], b"two", close_connection=True)
        self.assertTrue(transport.closed)
        self.assertLess(transport.written_data.index(b"one"), transport.written_data.index(b"two"))

    async def test_too_many_pipelined_requests_are_rejected_after_the_responses_to_the_others(self):
        server, transport = self.start()
        server.received(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * (http.MAX_PIPELINED_REQUESTS + 3))
        self.assertEqual((len(server.served), transport.written_data), (1, b""))
        for _ in range(http.MAX_PIPELINED_REQUESTS):
            server.respond(200, [], b"")
            await asyncio.sleep(0)
        self.assertTrue(transport.closed)
        self.assertEqual(
            [transport.written_data.count(b"HTTP/1.1 %d" % status) for status in (200, 429)],
            [http.MAX_PIPELINED_REQUESTS, 1],
        )

    async def test_an_invalid_request_is_rejected_with_the_matching_status(self):
        long_header = b"x: " + b"y" * 3000 + b"\r\n"
        for request, status in (
            (b"GET / HTTP/1.1\r\n\r\n", 400),
            (b"nonsense\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nHost: x\r\n" + long_header * 30, 431),
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
            server, transport = self.start()
            server.received(request)
            self.assertEqual(
                transport.written_data.split(b" ")[1:2], [b"%d" % status], request[:60]
            )
            self.assertTrue(transport.closed)

    async def test_a_body_above_the_size_limit_is_rejected_and_not_served(self):
        server, transport = self.start()
        server.received(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (http.MAX_BODY_BYTES + 1)
        )
        for _ in range(http.MAX_BODY_BYTES // 65536 + 1):
            server.received(b"z" * 65536)
        self.assertTrue(transport.written_data.startswith(b"HTTP/1.1 413"))
        self.assertEqual(server.served, [])


class ClientConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def start_request(self, *chunks, deadline=1.0):
        """Return a connection that received the chunks after a request, and the request's task."""
        connection, transport = ClientConnection(), InMemoryTransport()
        connection.connection_made(transport)
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            connection.send_request("GET", "/", [("host", "x")], b"", loop.time() + deadline)
        )
        await asyncio.sleep(0)
        for data in chunks:
            connection.received(data)
        return connection, task

    async def test_a_connection_is_reused_until_the_server_closes_it(self):
        connection, task = await self.start_request(
            b"HTTP/1.1 200 OK\r\nA: b\r\nContent-Le", b"ngth: 2\r\n\r\nhi"
        )
        response = await task
        self.assertEqual(
            (response.status, response.headers["a"], response.body, response.keep_alive),
            (200, "b", b"hi", True),
        )
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            connection.send_request("GET", "/", [("host", "x")], b"", loop.time() + 1)
        )
        await asyncio.sleep(0)
        connection.received(b"HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(((await task).status, connection.usable), (503, False))

    async def test_an_unsolicited_response_makes_the_connection_unusable(self):
        connection, task = await self.start_request(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await task
        connection.received(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
        self.assertFalse(connection.usable)

    async def test_a_timeout_and_a_response_that_is_not_http_fail_the_request(self):
        _, task = await self.start_request(deadline=0.01)
        with self.assertRaises(RequestFailedError) as timed_out:
            await task
        self.assertEqual(
            (timed_out.exception.outcome, timed_out.exception.request_sent), ("timed out", True)
        )
        _, task = await self.start_request(b"SSH-2.0\r\n")
        with self.assertRaises(RequestFailedError) as broken:
            await task
        self.assertEqual(broken.exception.outcome, "broken")

    async def peak_memory(self, *chunks, **connection_options):
        """Return the outcome of a request with these chunks as answer, and the peak memory."""
        connection, transport = ClientConnection(**connection_options), InMemoryTransport()
        connection.connection_made(transport)
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            connection.send_request("GET", "/", [("host", "x")], b"", loop.time() + 60)
        )
        await asyncio.sleep(0)
        tracemalloc.start()
        try:
            for data in chunks:
                if not transport.closed:
                    connection.received(data)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        with self.assertRaises(RequestFailedError) as failed:
            await task
        return failed.exception.outcome, peak

    async def test_a_body_in_tiny_chunks_takes_no_more_than_its_size(self):
        # Guards against answers of discovery and health checks that never end.
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        pieces = [b"2\r\nxy\r\n" * 10_000] * 100
        outcome, peak = await self.peak_memory(head, *pieces)
        self.assertEqual(outcome, "broken")
        self.assertLess(peak, 2 * http.MAX_BODY_BYTES)
        outcome, peak = await self.peak_memory(head, *pieces, max_body_bytes=MAX_RESPONSE_BYTES)
        self.assertEqual(outcome, "broken")
        self.assertLess(peak, 1 << 20)

    async def test_an_answer_with_very_many_headers_fails(self):
        headers = b"".join(b"h%x:\r\n" % number for number in range(5000))
        outcome, peak = await self.peak_memory(b"HTTP/1.1 200 OK\r\n", headers)
        self.assertEqual(outcome, "broken")
        self.assertLess(peak, 256 << 10)

    async def test_a_header_value_with_a_line_break_is_an_error(self):
        for value in ("a\r\nreq-id: 2", "a\nb", "a\rb"):
            with self.assertRaises(ValueError):
                encode_message("GET / HTTP/1.1", [("host", value)], b"")
