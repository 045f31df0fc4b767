"""The ``explain`` command, which explains how the fleet handles a request."""

import argparse

from . import add_directory, command


def add_explain(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``explain``."""
    add_directory(parser)
    parser.add_argument("--account", required=True, help="client account of the caller")
    parser.add_argument("--model", default="", help="requested model")
    parser.add_argument("--path", default="", help="path of the request")
    parser.add_argument(
        "--method", default="POST", help="method of the request (default: %(default)s)"
    )


@command(
    "explain",
    "explain how the fleet handles a request, with the line behind each step",
    add_explain,
)
def run_explain(arguments: argparse.Namespace) -> None:
    """Print the explanation."""
    from ..fleet.explain import Explainer, Question

    question = Question(arguments.account, arguments.model, arguments.path, arguments.method)
    print("\n".join(Explainer(arguments.directory).explain(question)))
