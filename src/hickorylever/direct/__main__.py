"""Opens the listening socket before the slow imports, so that callers can connect early."""

import sys

from .listener import open_listener

listener = open_listener(sys.argv[1:])

from .entry import main  # noqa: E402

sys.exit(main(listener=listener))
