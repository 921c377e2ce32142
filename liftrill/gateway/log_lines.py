"""Writes the log of one process: eliot's messages, a JSON object a line."""

import json
from collections.abc import Callable
from typing import Any

import eliot
import orjson

from liftrill.gateway.log_output import BoundedOutput

Message = dict[str, Any]
Destination = Callable[[Message], None]


def add_log_output(output: BoundedOutput) -> Destination:
    """Write each message from now on as a line to an output."""

    def write(message: Message) -> None:
        output.write(_encoded(message))

    eliot.add_destinations(write)
    return write


def _encoded(message: Message) -> bytes:
    try:
        return orjson.dumps(message, default=_plain, option=orjson.OPT_APPEND_NEWLINE)
    except orjson.JSONEncodeError:
        # Numbers of more than 64 bits, and bytes in a header that are no text.
        return json.dumps(message, default=_plain, skipkeys=True).encode() + b"\n"


def _plain(value: object) -> object:
    """Return what a value of another type is written as."""
    return list(value) if isinstance(value, set | frozenset) else str(value)
