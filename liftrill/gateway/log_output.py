"""Writes the eliot messages of one process as JSON lines, without blocking on a slow reader."""

import json
import os
import sys
from collections import deque
from collections.abc import Callable
from typing import Any

import eliot
import orjson

from liftrill import constants

Message = dict[str, Any]
Destination = Callable[[Message], None]


class BoundedOutput:
    """An output that drops lines instead of blocking.

    Lines that do not fit into the buffer while the pipe is full, and lines that are buffered when
    a write to the pipe fails, are dropped and counted.

    Attributes:
        dropped: number of dropped lines.
    """

    def __init__(self, descriptor: int | None = None) -> None:
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        os.set_blocking(self._descriptor, False)
        self._buffer: deque[bytes] = deque()
        self._buffer_bytes = 0
        self.dropped = 0

    def write(self, data: bytes) -> int:
        """Buffer a line, and write as much of the buffer as the reader accepts now."""
        if self._buffer_bytes + len(data) > constants.LOG_BUFFER_BYTES:
            self.dropped += 1
            return len(data)
        self._buffer.append(data)
        self._buffer_bytes += len(data)
        self._flush()
        return len(data)

    def _flush(self) -> None:
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                self.dropped += len(self._buffer)
                self._buffer.clear()
                self._buffer_bytes = 0
                return
            self._buffer_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()


def add_log_output(output: BoundedOutput) -> Destination:
    """Write each message from now on as a JSON line to an output."""

    def write(message: Message) -> None:
        output.write(_encoded(message))

    eliot.add_destinations(write)
    return write


def _encoded(message: Message) -> bytes:
    try:
        return orjson.dumps(message, default=_serializable, option=orjson.OPT_APPEND_NEWLINE)
    except orjson.JSONEncodeError:
        # orjson rejects integers of more than 64 bits and header values that are not valid UTF-8.
        return json.dumps(message, default=_serializable, skipkeys=True).encode() + b"\n"


def _serializable(value: object) -> object:
    """Return the JSON form of a value of another type: a list for sets, otherwise a string."""
    return list(value) if isinstance(value, set | frozenset) else str(value)
