import re

import curio
import msgspec
import pytest
from harness import HOST, KEY, World, port_of, run

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


def nested(text, depth=300):
    opened = text * depth
    closed = (b"]" if text == b"[" else b"}") * depth
    return b'{"model":"m1","messages":[{"role":"user","content":' + opened + b"1" + closed + b"}]}"


def get(head=b"", path=b"/ledger/notes", version=b"1.1", method=b"GET"):
    return method + b" " + path + b" HTTP/" + version + b"\r\n" + AUTH + head + b"\r\n"


CASES = {
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
    "deep lists": (post(nested(b"[")), 400, "bad_request"),
    "deep maps": (post(nested(b'{"a":')), 400, "bad_request"),
    "very deep": (post(nested(b"[", 100000)), 400, "bad_request"),
    "no key": (b"GET /ledger HTTP/1.1\r\nHost: x\r\n\r\n", 401, "unauthenticated"),
    "long key": (get().replace(KEY.encode(), b"k" * 20000), 401, "unauthenticated"),
}


async def talk(port, data, halves=False):
    """Send bytes and return everything that comes back until the peer closes."""
    sock = await http.connect(HOST, port)
    async with sock:
        received = b""
        try:
            await sock.sendall(data)
            if halves:
                await sock.shutdown(1)
            while piece := await sock.recv(65536):
                received += piece
        except OSError:
            pass
        return received


def parts(received):
    """Return status, headers and body of one answer."""
    head, _, body = received.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    pairs = (line.split(b": ", 1) for line in lines[1:])
    return int(lines[0].split()[1]), {key.lower(): value for key, value in pairs}, body


@pytest.mark.parametrize("case", CASES)
def test_hostile_request_gets_its_kind_and_hurts_nobody(case):
    data, status, kind = CASES[case]

    async def main():
        async with World(engines=1) as world:
            server = world.routers[0].server
            server.limits = LIMITS
            hostile = await curio.spawn(talk, world.router_ports[0], data)
            assert (await world.chat())[0] == 200
            found, headers, body = parts(await hostile.join())
            problem = msgspec.json.decode(body)
            assert (found, problem["kind"], problem["ran"]) == (status, kind, "no")
            assert headers[b"content-type"] == b"application/problem+json"
            assert (await world.chat())[0] == 200
            assert world.engines[0].runs == 2 and not world.services[0].runs
            while server.held:
                await curio.sleep(0.01)

    run(main)


HARMLESS = {
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


@pytest.mark.parametrize("case", HARMLESS)
def test_odd_but_allowed_request_is_answered(case):
    data, status = HARMLESS[case]

    async def main():
        async with World(engines=1) as world:
            data_ = data.replace(b"Host: x\r\n", b"Host: x\r\nConnection: close\r\n", 1)
            received = await talk(world.router_ports[0], data_)
            assert parts(received)[0] == status
            assert re.findall(rb"HTTP/1.1 (\d+)", received)[-1] == b"200"

    run(main)


def echo_server(limits=None):
    async def echo(exchange):
        body = await exchange.body()
        names = [key.decode() for key, _ in exchange.headers]
        value = {"path": exchange.path, "size": len(body), "names": names}
        await respond_json(exchange, value)

    return Server(echo, refuse, limits)


async def serving(server):
    listener = http.listen(HOST, 0)
    port = port_of(listener)
    return await curio.spawn(server.serve, listener, daemon=True), port


def test_pipelined_requests_are_answered_in_order():
    async def main():
        _, port = await serving(echo_server())
        requests = b"".join(get(path=b"/%d" % number) for number in range(20))
        received = await talk(port, requests, halves=True)
        assert re.findall(rb'"path":"/(\d+)"', received) == [b"%d" % n for n in range(20)]

    run(main)


def test_connections_are_kept_when_a_handler_reads_no_body():
    async def main():
        async def ignore(exchange):
            await exchange.respond(200, body=exchange.path.encode())

        _, port = await serving(Server(ignore, refuse))
        received = await talk(port, get(path=b"/one") + get(path=b"/two"), halves=True)
        assert received.endswith(b"/two") and b"close" not in received
        unread = post(b"{}") + get(path=b"/smuggled")
        received = await talk(port, unread)
        assert received.count(b"HTTP/1.1") == 1 and b"connection: close" in received

    run(main)


def test_head_and_304_keep_the_length_and_have_no_body():
    async def main():
        async with World() as world:

            async def answer(exchange):
                status = int(exchange.path.rpartition("/")[2])
                await exchange.respond(status, [(b"content-length", b"77")], b"")

            world.services[0].server.handler = answer
            cases = [("HEAD", "200", b"77"), ("GET", "204", b""), ("HEAD", "404", b"77")]
            for method, path, length in cases:
                answer_ = await world.post(f"/ledger/{path}", b"", method=method)
                assert (answer_[0], answer_[2]) == (int(path), b"")
                assert http.header(answer_[1], b"content-length") == length

    run(main)


def test_connections_over_the_limit_are_answered_503():
    async def main():
        server = echo_server(Limits(max_connections=2))
        _, port = await serving(server)
        idle = [await http.connect(HOST, port) for _ in range(2)]
        status, _, body = parts(await talk(port, b""))
        assert (status, msgspec.json.decode(body)["kind"]) == (503, "overloaded")
        for sock in idle:
            await sock.sendall(get())
            assert (await sock.recv(1000)).startswith(b"HTTP/1.1 200")
            await sock.close()
        while server.connections:
            await curio.sleep(0.01)
        assert parts(await talk(port, get(), halves=True))[0] == 200

    run(main)


def test_a_body_in_too_many_chunks_is_refused():
    async def main():
        _, port = await serving(echo_server())
        status, _, body = parts(await talk(port, chunked(*[b"x"] * 20000)))
        assert (status, msgspec.json.decode(body)["kind"]) == (400, "bad_request")

    run(main)


def test_bodies_held_at_once_are_bounded():
    async def main():
        server = echo_server(Limits(max_buffered=1000, body_timeout=5.0))
        _, port = await serving(server)
        slow = await http.connect(HOST, port)
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
        await slow.sendall(head % 801 + b"x" * 800)
        while server.held < 800:
            await curio.sleep(0.01)
        status, _, body = parts(await talk(port, head % 300 + b"x" * 300))
        assert (status, msgspec.json.decode(body)["kind"]) == (503, "overloaded")
        await slow.sendall(b"x")
        assert (await slow.recv(1000)).startswith(b"HTTP/1.1 200")
        assert server.held == 0

    run(main)


def test_a_caller_that_does_not_read_is_cut_off():
    async def main():
        gone = curio.Event()

        async def flood(exchange):
            await exchange.start(200)
            try:
                while True:
                    await exchange.write(b"x" * 100000)
            except ConnectionLost:
                await gone.set()
                raise

        _, port = await serving(Server(flood, refuse, Limits(write_timeout=0.1)))
        sock = await http.connect(HOST, port)
        await sock.sendall(get())
        await gone.wait()

    run(main)


def test_a_failing_handler_is_answered_and_stops_nothing():
    async def main():
        async def fail(exchange):
            if exchange.path == "/begun":
                await exchange.start(200)
                await exchange.write(b"part")
            raise ZeroDivisionError

        _, port = await serving(Server(fail, refuse))
        status, _, body = parts(await talk(port, get()))
        problem = msgspec.json.decode(body)
        assert (status, problem["kind"], problem["ran"]) == (500, "internal", "unknown")
        begun = await talk(port, get(path=b"/begun"))
        assert b"part" in begun and not begun.endswith(b"0\r\n\r\n")
        with pytest.raises(ConnectionLost):
            await http.Client().fetch(HOST, port, "GET", "/begun")
        assert parts(await talk(port, get()))[0] == 500

    run(main)


def test_internal_headers_are_not_believed_and_the_request_id_is_echoed():
    async def main():
        async with World() as world:
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


def test_stopping_closes_idle_connections_and_finishes_the_rest():
    async def main():
        release = curio.Event()

        async def slow(exchange):
            if exchange.path == "/slow":
                await release.wait()
            await exchange.respond(200, body=b"ok")

        server = Server(slow, refuse)
        task, port = await serving(server)
        client = http.Client()
        idle = await client.acquire(HOST, port)
        await client.request(idle, "GET", "/")
        answer = await client.answer(idle)
        await answer.body()
        assert idle.reusable()
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


def test_a_request_that_arrived_before_the_stop_is_answered(monkeypatch):
    monkeypatch.setattr(defaults, "LINGER_SECONDS", 0.01)

    async def main():
        for _ in range(20):
            server = echo_server()
            task, port = await serving(server)
            client = http.Client()
            channel = await client.acquire(HOST, port)
            await client.request(channel, "GET", "/one")
            await (await client.answer(channel)).body()
            assert channel.reusable()
            await client.request(channel, "GET", "/two")
            await server.stop()
            assert b"/two" in await (await client.answer(channel)).body()
            await task.join()

    run(main)


def test_a_request_read_during_the_stop_is_not_taken_for_abandoned():
    async def answer(exchange):
        await curio.sleep(0.05)
        await exchange.respond(200, body=b"whole")

    async def handle(exchange):
        await http.while_wanted(exchange, answer, exchange)

    async def main():
        server = http.Server(handle, refuse)
        task, port = await serving(server)
        client = http.Client()
        for target in ("/one", "/two"):
            channel = await client.acquire(HOST, port)
            await curio.sleep(0.01)
            await client.request(channel, "GET", target)
            if target == "/two":
                server.close_idle(server.idle)
            assert await (await client.answer(channel)).body() == b"whole"
            await client.release(HOST, port, channel)
        await task.cancel()

    run(main)


def test_idle_connections_are_reaped_and_never_raced():
    async def main():
        _, port = await serving(echo_server())
        client = http.Client(max_idle=0.0)
        await client.fetch(HOST, port, "GET", "/")
        assert client.idle
        await client.reap()
        assert not client.idle

    run(main)
