"""Entry point of the binary."""

import sys

from hickorylever.cli import main

sys.exit(main())
