"""Listens for callers, then imports the rest: their connections wait and are not refused."""

import sys

from .listener import open_early

listener = open_early(sys.argv[1:])

from .entry import main  # noqa: E402

sys.exit(main(listener=listener))
