"""Failures that operators of similar systems reported, played against the stand-ins.

docs/PLATFORM.md lists where each of them is tested, and what was found.
"""

import errno
import time

import curio
import pytest
from direct_harness import KEY, SITE, configuration, run_scenario, serve_raw

from hickorylever import http
from hickorylever.direct import router
from hickorylever.exceptions import ConnectionLost

LATE_SECONDS = 0.03


def test_a_late_second_copy_on_an_idle_connection_answers_no_other_call():
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n%s"

    async def answer_twice(client, address):
        while await client.recv(65536):
            await client.sendall(response % b"new")
            await curio.sleep(LATE_SECONDS)
            await client.sendall(response % b"old")

    async def main():
        port, server = await serve_raw(answer_twice)
        client = http.Client()
        for _ in range(3):
            assert (await client.fetch("127.0.0.1", port, "GET", "/"))[2] == b"new"
            await curio.sleep(2 * LATE_SECONDS)
        await server.cancel()

    curio.run(main)


def test_a_planned_stop_under_load_cuts_no_accepted_request(monkeypatch):
    monkeypatch.setattr(router, "DRAIN_ACCEPT_SECONDS", 0.3)
    paths = ("/safe/x", "/unsafe/x", "/stream/stream/x")

    async def scenario(harness):
        for origin in harness.origins:
            origin.pause = 0.02
        statuses = []
        stopped = False

        async def call(number):
            while not stopped:
                try:
                    response = await harness.send_request(paths[number % len(paths)])
                except ConnectionLost:
                    return  # The connection was refused, so that the request was never accepted.
                statuses.append((response.status, response.body is not None))

        callers = [await curio.spawn(call, number) for number in range(20)]
        await harness.until(lambda: len(statuses) > 40)
        before = len(statuses)
        harness.router.server.draining = True
        harness.node.draining = True
        await harness.router.drain()
        stopped = True
        for caller in callers:
            await caller.join()
        assert len(statuses) >= before + len(callers)
        assert set(statuses) == {(200, True)}

    run_scenario(scenario, ("well",), ("well",))


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
def test_a_request_without_a_descriptor_for_its_connection_is_refused_as_not_run(path):
    """It was answered 500, which its caller may not repeat, although nothing had been sent."""

    def fail(*arguments):
        raise OSError(errno.EMFILE, "too many open files")

    async def scenario(harness):
        caller = await http.connect("127.0.0.1", harness.port)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(http.client.socket, "socket", fail)
            head = [b"POST %s HTTP/1.1" % path.encode(), b"Host: %s" % SITE.encode()]
            head += [b"%s: %s" % field for field in harness.headers()]
            await caller.sendall(b"\r\n".join([*head, b"Content-Length: 0", b"", b""]))
            assert (await caller.recv(65536)).startswith(b"HTTP/1.1 503 ")
        await caller.close()
        assert not harness.runs

    run_scenario(scenario, ("well",))


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
def test_an_answer_that_ends_after_a_stop_began_says_that_the_connection_closes(path):
    """A caller would send its next request while the router closes the connection."""

    async def scenario(harness):
        (origin,) = harness.origins
        origin.pause = 0.05
        caller = await curio.spawn(harness.send_request, path)
        await harness.until(lambda: harness.runs)
        harness.router.server.draining = True
        response = await caller.join()
        assert response.headers[b"connection"] == b"close"

    run_scenario(scenario, ("well",))


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
def test_a_process_that_was_paused_sends_no_request_whose_time_is_over(path, monkeypatch):
    """The pause comes after the endpoint is chosen, with a connection at hand."""

    async def scenario(harness):
        assert (await harness.send_request(path)).status == 200
        forwarder = harness.router.forwarder
        build = forwarder.upstream_request

        def build_slowly(call, choice):
            time.sleep(0.25)
            return build(call, choice)

        monkeypatch.setattr(forwarder, "upstream_request", build_slowly)
        response = await harness.send_request(path, headers=harness.headers(deadline=200))
        assert response.status == 504
        await curio.sleep(0.05)
        assert harness.origins[0].arrivals == 1

    run_scenario(scenario, ("well",))


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\xff\x16\x03\x01",
        b"GET / HTTP/9.9\r\n\r\n",
        b"POST /safe/x HTTP/1.1\r\nHost: %s\r\nContent-Length: -1\r\n\r\n" % SITE.encode(),
        b"POST /safe/x HTTP/1.1\r\nHost: \xff\xfe\r\nTransfer-Encoding: x\r\n\r\n",
        b"POST /safe/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n"
        b"Hickorylever-Prompt-Prefix: :::,,\xff\r\nContent-Length: 0\r\n\r\n"
        % (SITE.encode(), KEY.encode()),
    ],
)
def test_a_malformed_request_does_not_stop_the_process(data):
    async def scenario(harness):
        sock = await http.connect("127.0.0.1", harness.port)
        await sock.sendall(data)
        await curio.ignore_after(1.0, sock.recv, 65536)
        await sock.close()
        assert (await harness.send_request("/safe/x")).status == 200

    run_scenario(scenario, ("well",))


@pytest.mark.parametrize("value", [None, [], "x", {"version": 10**30}, {"routes": [{}]}])
def test_malformed_objects_in_the_store_do_not_stop_its_watch(value):
    async def scenario(harness):
        await harness.store.put("config", "main", value)
        await harness.store.put("servers", "odd", value)
        await harness.store.put("config", "main", configuration(version=12))
        await harness.until(lambda: harness.node.routes.configuration.version == 12)
        assert all(watcher.reached for watcher in harness.node.store_watchers)

    run_scenario(scenario, ("well",))
