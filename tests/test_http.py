import re

import curio
import msgspec
import pytest
from harness import HOST, KEY, FleetHarness, port_of, run

from hickorylever import defaults, http
from hickorylever.exceptions import ConnectionLost
from hickorylever.http import Limits, Server
from hickorylever.node import refuse, respond_json

AUTH = b"Host: x\r\nAuthorization: Bearer " + KEY.encode() + b"\r\n"
CHAT = b"/v1/chat/completions"
LIMITS = Limits(header_timeout=0.1, body_timeout=0.1, idle_timeout=5.0, max_connections=8)
BODY = b'{"model":"m1","messages":[{"role":"user","content":"x"}],"max_tokens":2}'


def post(body, head=b"", path=CHAT, length=True):
    fields = b"Content-Length: %d\r\n" % len(body) if length else b""
    return b"POST " + path + b" HTTP/1.1\r\n" + AUTH + fields + head + b"\r\n" + body


def chunked(*pieces, head=b"", end=b"0\r\n\r\n"):
    body = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return post(body + end, b"Transfer-Encoding: chunked\r\n" + head, length=False)


def nested_content(text, depth=300):
    opened = text * depth
    closed = (b"]" if text == b"[" else b"}") * depth
    return b'{"model":"m1","messages":[{"role":"user","content":' + opened + b"1" + closed + b"}]}"


def get(head=b"", path=b"/ledger/notes", version=b"1.1", method=b"GET"):
    return method + b" " + path + b" HTTP/" + version + b"\r\n" + AUTH + head + b"\r\n"


MALFORMED = {
    "large head": (get(b"X: " + b"a" * 40000 + b"\r\n"), 431, "headers_too_large"),
    "many headers": (get(b"X: a\r\n" * 9000), 431, "headers_too_large"),
    "large body": (
        post(b"", b"Content-Length: 99999999\r\n", length=False),
        413,
        "body_too_large",
    ),
    "large chunks": (chunked(*[b"x" * 65536] * 65), 413, "body_too_large"),
    "slow head": (b"GET /ledger HTTP/1.1\r\nHost:", 408, "request_timeout"),
    "slow body": (post(b"", b"Content-Length: 9\r\n", length=False), 408, "request_timeout"),
    "slow chunks": (chunked(b"{", end=b""), 408, "request_timeout"),
    "bad chunk size": (chunked(end=b"zz\r\n{}\r\n0\r\n\r\n"), 400, "bad_request"),
    "negative chunk": (chunked(end=b"-1\r\n{}\r\n0\r\n\r\n"), 400, "bad_request"),
    "overlong chunk": (chunked(end=b"1\r\n{}\r\n0\r\n\r\n"), 400, "bad_request"),
    "endless chunk extension": (chunked(end=b"1;" + b"a" * 40000), 400, "bad_request"),
    "both lengths": (chunked(BODY, head=b"Content-Length: 3\r\n"), 400, "bad_request"),
    "lengths differ": (post(BODY, b"Content-Length: 3\r\n"), 400, "bad_request"),
    "length is a list": (get(b"Content-Length: 3, 4\r\n"), 400, "bad_request"),
    "length negative": (get(b"Content-Length: -1\r\n"), 400, "bad_request"),
    "length signed": (get(b"Content-Length: +1\r\n"), 400, "bad_request"),
    "length hexadecimal": (get(b"Content-Length: 0x1\r\n"), 400, "bad_request"),
    "length underscored": (get(b"Content-Length: 1_0\r\n"), 400, "bad_request"),
    "length enormous": (get(b"Content-Length: " + b"9" * 5000 + b"\r\n"), 400, "bad_request"),
    "folded length": (get(b"Content-Length: 1\r\n 0\r\n"), 400, "bad_request"),
    "unknown coding": (get(b"Transfer-Encoding: gzip, chunked\r\n"), 400, "bad_request"),
    "coding twice": (get(b"Transfer-Encoding: chunked\r\n" * 2), 400, "bad_request"),
    "space before colon": (get(b"Content-Length : 3\r\n"), 400, "bad_request"),
    "NUL in a header": (get(b"X: a\x00b\r\n"), 400, "bad_request"),
    "NUL in the target": (get(path=b"/ledger/\x00"), 400, "bad_request"),
    "not HTTP": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400, "bad_request"),
    "HTTP/2 preface": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400, "bad_request"),
    "no host": (b"GET /ledger HTTP/1.1\r\n\r\n", 400, "bad_request"),
    "two hosts": (get(b"Host: y\r\n"), 400, "bad_request"),
    "two keys": (get(b"Idempotency-Key: a\r\nIdempotency-Key: b\r\n"), 400, "bad_request"),
    "two credentials": (get(b"Authorization: Bearer b\r\n"), 400, "bad_request"),
    "absolute target": (get(path=b"http://x/ledger/notes"), 400, "bad_request"),
    "tunnel": (get(path=b"x:443", method=b"CONNECT"), 400, "bad_request"),
    "asterisk": (get(path=b"*", method=b"OPTIONS"), 400, "bad_request"),
    "dot segments": (get(path=b"/ledger/../v1/models"), 400, "bad_request"),
    "escaped dot": (get(path=b"/ledger/%2e%2e/x"), 400, "bad_request"),
    "escaped letter": (get(path=b"/ledger/%70ostings"), 400, "bad_request"),
    "escaped slash": (get(path=b"/ledger%2Fpostings"), 400, "bad_request"),
    "empty segment": (get(path=b"/ledger//postings"), 400, "bad_request"),
    "fragment": (get(path=b"/ledger/postings#x"), 400, "bad_request"),
    "path parameters": (get(path=b"/ledger/postings;x=1"), 400, "bad_request"),
    "broken escape": (get(path=b"/ledger/%zz"), 400, "bad_request"),
    "timeout no number": (get(b"Hickory-Timeout: nan\r\n"), 400, "bad_request"),
    "empty body": (post(b""), 400, "bad_request"),
    "not JSON": (post(b"model=m1"), 400, "bad_request"),
    "broken UTF-8": (post(b'{"model":"\xff\xfe"}'), 400, "bad_request"),
    "wrong type": (post(b'{"model":["m1"]}'), 400, "bad_request"),
    "messages no list": (post(b'{"model":"m1","messages":"x"}'), 400, "bad_request"),
    "negative tokens": (post(BODY.replace(b"2}", b"-9}")), 400, "bad_request"),
    "fractional tokens": (post(BODY.replace(b"2}", b"1.5}")), 400, "bad_request"),
    "huge tokens": (post(BODY.replace(b"2}", b"9" * 400 + b"}")), 400, "bad_request"),
    "deep lists": (post(nested_content(b"[")), 400, "bad_request"),
    "deep maps": (post(nested_content(b'{"a":')), 400, "bad_request"),
    "very deep": (post(nested_content(b"[", 100000)), 400, "bad_request"),
    "no key": (b"GET /ledger HTTP/1.1\r\nHost: x\r\n\r\n", 401, "unauthenticated"),
    "long key": (get().replace(KEY.encode(), b"k" * 20000), 401, "unauthenticated"),
}


async def exchange_bytes(port, data, half_close=False):
    """Send bytes and return all bytes received until the peer closes the connection.

    :param half_close: whether the sending side is closed after the data.
    """
    sock = await http.connect(HOST, port)
    async with sock:
        received = b""
        try:
            await sock.sendall(data)
            if half_close:
                await sock.shutdown(1)
            while piece := await sock.recv(65536):
                received += piece
        except OSError:
            pass
        return received


def parse_response(received):
    """Return the status, headers and body of a response."""
    head, _, body = received.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    pairs = (line.split(b": ", 1) for line in lines[1:])
    return int(lines[0].split()[1]), {key.lower(): value for key, value in pairs}, body


@pytest.mark.parametrize("case", MALFORMED)
def test_malformed_request_is_rejected_and_others_are_served(case):
    data, status, kind = MALFORMED[case]

    async def main():
        async with FleetHarness(engines=1) as world:
            server = world.routers[0].server
            server.limits = LIMITS
            request_task = await curio.spawn(exchange_bytes, world.router_ports[0], data)
            assert (await world.chat())[0] == 200
            found, headers, body = parse_response(await request_task.join())
            problem = msgspec.json.decode(body)
            assert (found, problem["kind"], problem["ran"]) == (status, kind, "no")
            assert headers[b"content-type"] == b"application/problem+json"
            assert (await world.chat())[0] == 200
            assert world.engines[0].runs == 2 and not world.services[0].runs
            while server.buffered_bytes:
                await curio.sleep(0.01)

    run(main)


VALID = {
    "chunks and trailers": (chunked(BODY, end=b"0\r\nHickory-Ran: no\r\nX: y\r\n\r\n"), 200),
    "expects 100": (post(BODY, b"Expect: 100-continue\r\n"), 100),
    "upgrade ignored": (get(b"Connection: Upgrade\r\nUpgrade: websocket\r\n"), 200),
    "h2c ignored": (get(b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"), 200),
    "body on GET": (get(b"Content-Length: 2\r\n") + b"{}", 200),
    "same length twice": (post(BODY, b"Content-Length: %d\r\n" % len(BODY)), 200),
    "folded header": (get(b"X-Note: a\r\n b\r\n"), 200),
    "HTTP/1.0": (get(version=b"1.0"), 200),
    "text deep in brackets": (post(BODY.replace(b'"x"', b'"' + b"[" * 5000 + b'"')), 200),
}


@pytest.mark.parametrize("case", VALID)
def test_unusual_but_valid_request_is_served(case):
    data, status = VALID[case]

    async def main():
        async with FleetHarness(engines=1) as world:
            request = data.replace(b"Host: x\r\n", b"Host: x\r\nConnection: close\r\n", 1)
            received = await exchange_bytes(world.router_ports[0], request)
            assert parse_response(received)[0] == status
            assert re.findall(rb"HTTP/1.1 (\d+)", received)[-1] == b"200"

    run(main)


def echo_server(limits=None):
    async def echo(exchange):
        body = await exchange.body()
        names = [key.decode() for key, _ in exchange.headers]
        value = {"path": exchange.path, "size": len(body), "names": names}
        await respond_json(exchange, value)

    return Server(echo, refuse, limits)


async def start_server(server):
    listener = http.listen(HOST, 0)
    port = port_of(listener)
    return await curio.spawn(server.serve, listener, daemon=True), port


def test_pipelined_requests_are_served_in_order():
    async def main():
        _, port = await start_server(echo_server())
        requests = b"".join(get(path=b"/%d" % number) for number in range(20))
        received = await exchange_bytes(port, requests, half_close=True)
        assert re.findall(rb'"path":"/(\d+)"', received) == [b"%d" % n for n in range(20)]

    run(main)


def test_connection_is_closed_only_after_an_unread_body():
    async def main():
        async def ignore(exchange):
            await exchange.respond(200, body=exchange.path.encode())

        _, port = await start_server(Server(ignore, refuse))
        received = await exchange_bytes(
            port, get(path=b"/one") + get(path=b"/two"), half_close=True
        )
        assert received.endswith(b"/two") and b"close" not in received
        unread = post(b"{}") + get(path=b"/smuggled")
        received = await exchange_bytes(port, unread)
        assert received.count(b"HTTP/1.1") == 1 and b"connection: close" in received

    run(main)


def test_response_without_body_keeps_content_length():
    async def main():
        async with FleetHarness() as world:

            async def answer(exchange):
                status = int(exchange.path.rpartition("/")[2])
                await exchange.respond(status, [(b"content-length", b"77")], b"")

            world.services[0].server.handler = answer
            cases = [("HEAD", "200", b"77"), ("GET", "204", b""), ("HEAD", "404", b"77")]
            for method, path, length in cases:
                result = await world.post(f"/ledger/{path}", b"", method=method)
                assert (result[0], result[2]) == (int(path), b"")
                assert http.header(result[1], b"content-length") == length

    run(main)


def test_connection_limit():
    async def main():
        server = echo_server(Limits(max_connections=2))
        _, port = await start_server(server)
        idle = [await http.connect(HOST, port) for _ in range(2)]
        status, _, body = parse_response(await exchange_bytes(port, b""))
        assert (status, msgspec.json.decode(body)["kind"]) == (503, "overloaded")
        for sock in idle:
            await sock.sendall(get())
            assert (await sock.recv(1000)).startswith(b"HTTP/1.1 200")
            await sock.close()
        while server.connections:
            await curio.sleep(0.01)
        assert parse_response(await exchange_bytes(port, get(), half_close=True))[0] == 200

    run(main)


def test_body_with_too_many_chunks_is_rejected():
    async def main():
        _, port = await start_server(echo_server())
        status, _, body = parse_response(await exchange_bytes(port, chunked(*[b"x"] * 20000)))
        assert (status, msgspec.json.decode(body)["kind"]) == (400, "bad_request")

    run(main)


def test_buffered_bodies_are_limited():
    async def main():
        server = echo_server(Limits(max_buffered_bytes=1000, body_timeout=5.0))
        _, port = await start_server(server)
        slow = await http.connect(HOST, port)
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
        await slow.sendall(head % 801 + b"x" * 800)
        while server.buffered_bytes < 800:
            await curio.sleep(0.01)
        status, _, body = parse_response(await exchange_bytes(port, head % 300 + b"x" * 300))
        assert (status, msgspec.json.decode(body)["kind"]) == (503, "overloaded")
        await slow.sendall(b"x")
        assert (await slow.recv(1000)).startswith(b"HTTP/1.1 200")
        assert server.buffered_bytes == 0

    run(main)


def test_write_timeout():
    async def main():
        write_failed = curio.Event()

        async def flood(exchange):
            await exchange.start(200)
            try:
                while True:
                    await exchange.write(b"x" * 100000)
            except ConnectionLost:
                await write_failed.set()
                raise

        _, port = await start_server(Server(flood, refuse, Limits(write_timeout=0.1)))
        sock = await http.connect(HOST, port)
        await sock.sendall(get())
        await write_failed.wait()

    run(main)


def test_handler_exception_becomes_error_response():
    async def main():
        async def fail(exchange):
            if exchange.path == "/begun":
                await exchange.start(200)
                await exchange.write(b"part")
            raise ZeroDivisionError

        _, port = await start_server(Server(fail, refuse))
        status, _, body = parse_response(await exchange_bytes(port, get()))
        problem = msgspec.json.decode(body)
        assert (status, problem["kind"], problem["ran"]) == (500, "internal", "unknown")
        begun = await exchange_bytes(port, get(path=b"/begun"))
        assert b"part" in begun and not begun.endswith(b"0\r\n\r\n")
        with pytest.raises(ConnectionLost):
            await http.Client().fetch(HOST, port, "GET", "/begun")
        assert parse_response(await exchange_bytes(port, get()))[0] == 500

    run(main)


def test_internal_headers_are_removed_and_request_id_is_echoed():
    async def main():
        async with FleetHarness() as world:
            seen = []

            async def answer(exchange):
                seen.extend(key for key, _ in exchange.headers)
                await exchange.respond(200, [(b"hickory-ran", b"no"), (b"x-own", b"1")], b"{}")

            world.services[0].server.handler = answer
            given = [
                (b"hickory-attempt", b"a"),
                (b"x-request-id", b"r-1"),
                (b"x-hop", b"1"),
                (b"x-kept", b"1"),
                (b"connection", b"x-hop"),
                (b"te", b"trailers"),
            ]
            _, headers, _ = await world.post("/ledger/notes", b"{}", given)
            assert b"x-kept" in seen and not {b"x-hop", b"te", b"authorization"} & set(seen)
            assert not any(key.startswith(b"hickory-") for key in seen)
            assert http.header(headers, b"x-own") == b"1"
            assert http.header(headers, b"hickory-ran") == b""
            assert http.header(headers, b"x-request-id") == b"r-1"
            _, headers, _ = await world.post("/nowhere", b"", given)
            assert http.header(headers, b"x-request-id") == b"r-1"

    run(main)


def test_stop_closes_idle_connections_and_completes_exchanges():
    async def main():
        release = curio.Event()

        async def slow(exchange):
            if exchange.path == "/slow":
                await release.wait()
            await exchange.respond(200, body=b"ok")

        server = Server(slow, refuse)
        task, port = await start_server(server)
        client = http.Client()
        idle = await client.acquire(HOST, port)
        await client.send_request(idle, "GET", "/")
        answer = await client.receive_response(idle)
        await answer.body()
        assert idle.prepare_for_reuse()
        busy = await curio.spawn(client.fetch, HOST, port, "GET", "/slow")
        fresh = await http.connect(HOST, port)
        while server.connections < 3:
            await curio.sleep(0.01)
        stopping = await curio.spawn(server.stop)
        assert await idle.sock.recv(10) == b""
        await fresh.sendall(get())
        assert b"connection: close" in (await fresh.recv(1000)).lower()
        with pytest.raises(ConnectionLost):
            await http.connect(HOST, port)
        await release.set()
        status, headers, body = await busy.join()
        assert (status, body) == (200, b"ok")
        await stopping.join()
        await task.join()
        assert server.connections == 0

    run(main)


def test_request_received_before_stop_is_served(monkeypatch):
    monkeypatch.setattr(defaults, "LINGER_SECONDS", 0.01)

    async def main():
        for _ in range(20):
            server = echo_server()
            task, port = await start_server(server)
            client = http.Client()
            channel = await client.acquire(HOST, port)
            await client.send_request(channel, "GET", "/one")
            await (await client.receive_response(channel)).body()
            assert channel.prepare_for_reuse()
            await client.send_request(channel, "GET", "/two")
            await server.stop()
            assert b"/two" in await (await client.receive_response(channel)).body()
            await task.join()

    run(main)


def test_read_shutdown_is_not_mistaken_for_disconnect():
    async def answer(exchange):
        await curio.sleep(0.05)
        await exchange.respond(200, body=b"whole")

    async def handle(exchange):
        await http.cancel_on_disconnect(exchange, answer, exchange)

    async def main():
        server = http.Server(handle, refuse)
        task, port = await start_server(server)
        client = http.Client()
        for target in ("/one", "/two"):
            channel = await client.acquire(HOST, port)
            await curio.sleep(0.01)
            await client.send_request(channel, "GET", target)
            if target == "/two":
                server.close_idle(server.idle)
            assert await (await client.receive_response(channel)).body() == b"whole"
            await client.release(HOST, port, channel)
        await task.cancel()

    run(main)


def test_expired_idle_connections_are_closed():
    async def main():
        _, port = await start_server(echo_server())
        client = http.Client(max_idle=0.0)
        await client.fetch(HOST, port, "GET", "/")
        assert client.idle
        await client.reap()
        assert not client.idle

    run(main)
