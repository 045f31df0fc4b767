"""The ``where`` command, which asks a router where a request would go now."""

import argparse
import sys

import curio
import msgspec

from . import EXIT_FAILED, EXIT_USAGE, command

TIMEOUT_SECONDS = 5.0  # For the whole exchange with the router.


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``where``."""
    parser.add_argument("router", metavar="ADDRESS[:PORT]", help="metrics address of the router")
    parser.add_argument("--host", required=True, help="value of the request's Host header")
    parser.add_argument("--path", required=True, help="path of the request")
    parser.add_argument("--account", default="", help="name of the client account")
    parser.add_argument("--service", default="", help="service, if the route has several")
    parser.add_argument("--version", default=None, help="software version of a resumed stream")
    parser.add_argument(
        "--prompt", default="", metavar="ID:TOKENS,...", help="parts of the prompt, in order"
    )
    parser.add_argument("--prompt-tokens", type=int, default=0, metavar="N")
    parser.add_argument(
        "--time-limit", type=float, default=None, metavar="SECONDS", help="that the caller allows"
    )
    parser.add_argument("--json", action="store_true", help="print the whole report as JSON")


@command("where", "ask a direct router where a request would go now, and why", add_arguments)
def where(arguments: argparse.Namespace) -> int:
    """Print the router's report and return the exit code; a refusal is a report, too."""
    from ..direct.where_report import Report
    from ..exceptions import ConnectionLost
    from ..platform.names import METRICS_PORT

    address, _, port = arguments.router.partition(":")
    if not (port or str(METRICS_PORT)).isdecimal():
        return fail(f"{arguments.router!r} is not ADDRESS[:PORT]", EXIT_USAGE)
    try:
        question = create_question(arguments)
        status, content = curio.run(ask, address, int(port or METRICS_PORT), question)
        if status == 400:
            return fail(msgspec.json.decode(content, type=dict[str, str])["error"], EXIT_USAGE)
        if status != 200:
            return fail(f"{arguments.router} answers with status {status}", EXIT_FAILED)
        report = msgspec.json.decode(content, type=Report)
    except (ConnectionLost, curio.TaskTimeout) as error:
        return fail(f"{arguments.router} does not answer: {error}", EXIT_FAILED)
    except (msgspec.DecodeError, KeyError):
        return fail(f"{arguments.router} is no direct router of this version", EXIT_FAILED)
    if arguments.json:
        print(msgspec.json.format(content, indent=2).decode())
    else:
        print("\n".join(format_report(report)))
    return 0


def create_question(arguments: argparse.Namespace):
    """Return the question that the arguments describe."""
    from ..direct.where_report import Question

    return Question(
        arguments.host,
        arguments.path,
        arguments.account,
        arguments.service,
        arguments.version,
        arguments.prompt,
        arguments.prompt_tokens,
        arguments.time_limit,
    )


def fail(message: str, code: int) -> int:
    """Print an error and return the exit code."""
    print(f"hickorylever: {message}", file=sys.stderr)
    return code


async def ask(address: str, port: int, question) -> tuple[int, bytes]:
    """Send a question and return the status and the body of the response.

    :raises ConnectionLost: if the exchange fails.
    :raises curio.TaskTimeout: if the router does not answer in time.
    """
    from ..direct.status_servers import WHERE_PATH
    from ..http import Client

    body = msgspec.json.encode(question)
    async with curio.timeout_after(TIMEOUT_SECONDS):
        status, _, content = await Client().fetch(address, port, "POST", WHERE_PATH, (), body)
    return status, content


def format_report(report) -> list[str]:
    """Return the lines of text for a report."""
    lines = [f"{report.router}: {describe_result(report)}"]
    if report.route is not None:
        lines += describe_route(report.route)
    if report.queue is not None:
        lines.append(describe_queue(report.queue))
    lines += [describe_candidate(candidate, report.endpoint) for candidate in report.candidates]
    return lines + describe_knowledge(report.knowledge)


def describe_result(report) -> str:
    """Return the result in words."""
    results = {
        "sent": f"sent to {report.endpoint} at once",
        "queued": f"queued ({report.detail}); {report.endpoint} would be next",
        "waits": report.detail,
        "refused": f"refused, not run: {report.kind} ({report.detail})",
    }
    retry = "" if report.retry_after is None else f", Retry-After {report.retry_after:.3f} s"
    return results.get(report.result, report.result) + retry


def describe_route(route) -> list[str]:
    """Return the lines about the route and the account."""
    return [
        f"  route {route.name} ({route.kind}), service {route.service} "
        f"({route.service_share:.0%} of the route's requests)",
        f"  account {route.account or 'none'}, priority {route.priority}, "
        f"objective {route.objective:.3f} s, time limit {route.time_limit:.3f} s, "
        f"at most {route.max_attempts} attempts",
    ]


def describe_queue(queue) -> str:
    """Return the line about the queue."""
    expected = "not known" if queue.expected_wait is None else f"{queue.expected_wait:.3f} s"
    return (
        f"  queue: {queue.ahead} of {queue.waiting} go first, expected wait {expected}, "
        f"refused after {queue.longest_wait:.3f} s"
    )


def describe_candidate(candidate, chosen: str) -> str:
    """Return the line about an endpoint; the next one is marked with an arrow."""
    mark = ">" if candidate.name == chosen else " "
    costs = ", ".join(f"{name} {cost:.0f}" for name, cost in candidate.costs.items())
    source = f", copies from {candidate.source}" if candidate.source else ""
    state = f"ruled out: {candidate.ruled_out}" if candidate.ruled_out else "possible"
    return (
        f"{mark} {candidate.name} ({candidate.domain}, {candidate.version}) {state}; "
        f"cost {candidate.cost:.0f} ({costs or 'none'}); {candidate.requests} requests, "
        f"{candidate.prefill:.0f} unread tokens, {candidate.cached} cached{source}"
    )


def describe_knowledge(known) -> list[str]:
    """Return the lines about the age of the information."""
    ages = [f"{kind} {age:.1f} s ago" for kind, age in known.store_ages.items()]
    return [
        f"  known: configuration {known.configuration} ({known.configuration_position}), "
        f"endpoints {known.endpoints}, store {', '.join(ages) or 'not asked by this router'}",
        f"  known: {known.routers} other routers, oldest load {known.oldest_load:.1f} s, "
        f"caches from before the start {'known' if known.caches_known else 'not known'}",
    ]
