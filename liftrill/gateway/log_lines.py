"""Writes the log of one process: a JSON object a line, in the form of eliot's messages.

Eliot itself is not used here: its imports (pyrsistent, zope.interface) take a tenth of the
processor time of a node's start. Its tools read these lines: a process is one task of theirs,
whose messages are numbered.
"""

import itertools
import json
import time
import uuid
from collections.abc import Callable
from typing import Any

import orjson

from liftrill.gateway.log_output import BoundedOutput

Message = dict[str, Any]
Destination = Callable[[Message], None]

_task = str(uuid.uuid4())
_numbers = itertools.count(1)
_destinations: list[Destination] = []


def add_destination(destination: Destination) -> None:
    """Hand each message from now on to a destination too."""
    _destinations.append(destination)


def remove_destination(destination: Destination) -> None:
    """Hand no more messages to a destination."""
    _destinations.remove(destination)


def write_to(output: BoundedOutput) -> Destination:
    """Write each message from now on as a line to an output."""

    def write(message: Message) -> None:
        output.write(_encoded(message))

    add_destination(write)
    return write


def log_message(message_type: str, **fields: object) -> None:
    """Write one message, if anything takes messages."""
    if not _destinations:
        return
    message: Message = {
        **fields,
        "timestamp": time.time(),
        "task_uuid": _task,
        "task_level": [next(_numbers)],
        "message_type": message_type,
    }
    for destination in _destinations:
        destination(message)


def _encoded(message: Message) -> bytes:
    try:
        return orjson.dumps(message, default=_plain, option=orjson.OPT_APPEND_NEWLINE)
    except orjson.JSONEncodeError:
        # Numbers of more than 64 bits, and bytes in a header that are no text.
        return json.dumps(message, default=_plain, skipkeys=True).encode() + b"\n"


def _plain(value: object) -> object:
    """Return what a value of another type is written as."""
    return list(value) if isinstance(value, set | frozenset) else str(value)
