"""Runs the platform's program with a monotonic clock that stops while the machine is suspended.

To simulate a suspension, the test stops the process, writes the total suspended time into the file
named by SLEPT_FILE, and sends SIGUSR1 before it lets the process continue. This simulates the
clocks that the program reads; timers of the event loop fire earlier than after a real suspension.
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
    """Return the monotonic clock less the time suspended."""
    return real_monotonic() - slept_s


def read_slept(signal_number, frame):
    """Read the total time suspended; the handler of SIGUSR1."""
    global slept_s
    slept_s = float(Path(os.environ[SLEPT_FILE]).read_text())


def main():
    Path(os.environ[SLEPT_FILE]).write_text("0")
    time.monotonic = adjusted_monotonic
    signal.signal(signal.SIGUSR1, read_slept)
    program = sys.argv[1]
    sys.path.insert(0, str(Path(program).parent))
    sys.argv = [program]
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()
