"""Runs an entry VM's process: ``python3 -m fireflylock.platform``."""

import signal
import sys

# The settings are read after the imports, which take a while; until then there is nothing to read
# again, and the default action would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from fireflylock.platform.cmdline import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
