"""Writes the eliot messages of one process as JSON lines."""

import json
from collections.abc import Callable
from typing import Any

import eliot
import orjson

from liftrill.gateway.log_output import BoundedOutput

Message = dict[str, Any]
Destination = Callable[[Message], None]


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
