"""Opens the listening socket before the slow imports, so that callers can connect early."""

import gc
import signal
import sys

# A request to reload the settings that comes before its handler is there must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# The objects that imports create stay, so searching them for garbage only takes time.
gc.disable()

from .listener import open_listener  # noqa: E402

listener = open_listener(sys.argv[1:])

from .entry import main  # noqa: E402

gc.freeze()
gc.enable()

sys.exit(main(listener=listener))
