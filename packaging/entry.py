"""Entry point of the packaged executable."""

import sys

from hickorylever.cli import main

sys.exit(main())
