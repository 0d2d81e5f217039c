"""Runs an entry VM's process: ``python3 -m fireflylock.platform``."""

import sys

from fireflylock.platform.cmdline import main

if __name__ == "__main__":
    sys.exit(main())
