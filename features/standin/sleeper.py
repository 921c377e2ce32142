"""Runs the platform's program with a steady clock that stands while the machine sleeps.

The test stops the process for the time of the sleep, writes how long it has slept in all into
the file named by SLEPT_FILE, and sends SIGUSR1 before it lets the process go on. It shows what
the program reads of clocks; timers of the event loop fire earlier than after a real sleep.
"""

import os
import runpy
import signal
import sys
import time
from pathlib import Path

SLEPT_FILE = "LIFTRILL_TEST_SLEPT_FILE"

slept_s = 0.0
real_monotonic = time.monotonic


def adjusted_monotonic():
    """Return the steady clock less the time slept."""
    return real_monotonic() - slept_s


def wake(signal_number, frame):
    """Take in how long the process has slept."""
    global slept_s
    slept_s = float(Path(os.environ[SLEPT_FILE]).read_text())


def main():
    Path(os.environ[SLEPT_FILE]).write_text("0")
    time.monotonic = adjusted_monotonic
    signal.signal(signal.SIGUSR1, wake)
    program = sys.argv[1]
    sys.path.insert(0, str(Path(program).parent))
    sys.argv = [program]
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()
