"""Writes log lines to standard output without ever waiting for its reader."""

import os
import sys
from collections import deque

from liftrill import constants


class BoundedOutput:
    """An output that drops lines rather than block.

    A pipe that is full or closed costs lines, which are counted, and delays nothing.

    Attributes:
        dropped: lines left out since the last one that told of it.
    """

    def __init__(self, descriptor: int | None = None) -> None:
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        os.set_blocking(self._descriptor, False)
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self.dropped = 0

    def write(self, data: bytes) -> int:
        """Take a line and pass on what the reader takes now."""
        if self._waiting_bytes + len(data) > constants.LOG_BUFFER_BYTES:
            self.dropped += 1
            return len(data)
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        self._drain()
        return len(data)

    def _drain(self) -> None:
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                self.dropped += len(self._waiting)
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()
