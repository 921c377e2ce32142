"""Takes checked values out of a record that anybody may have written.

A record of another writer may lack fields or have them of another type. What is taken for
an engine there would get requests that nobody serves.
"""

import ipaddress
import json
import math
from collections.abc import Mapping
from typing import Any, TypeVar

from liftrill.gateway.record_decoder import RecordError

# Whole numbers of records are 64 bits wide, with a sign.
LARGEST_WHOLE = 2**63 - 1
LARGEST_PORT = 65_535
# An engine's record takes some hundred bytes, and less than 100 more for each of its models.
LARGEST_RECORD_BYTES = 65_536

Choice = TypeVar("Choice")


class FieldReader:
    """Takes checked fields out of one table of a record."""

    def __init__(self, table: object) -> None:
        if not isinstance(table, dict):
            raise RecordError(f"{type(table).__name__} where a table is expected")
        self._table: dict[str, Any] = table

    @classmethod
    def of_json(cls, value: bytes) -> "FieldReader":
        """Return a reader of a table written as JSON.

        Raises:
            RecordError: it is too large, no JSON, or no table.
        """
        if len(value) > LARGEST_RECORD_BYTES:
            raise RecordError(f"{len(value)} bytes, at most {LARGEST_RECORD_BYTES} expected")
        try:
            return cls(json.loads(value))
        except (ValueError, RecursionError) as error:
            raise RecordError(f"no JSON: {type(error).__name__}") from error

    def text(self, key: str) -> str:
        """Return a text that is not empty."""
        value = self._take(key)
        if not isinstance(value, str) or not value:
            raise self._error(key, "a text")
        return value

    def integer(self, key: str, minimum: int = 0) -> int:
        """Return a whole number of at most 64 bits."""
        value = self._take(key)
        is_whole = isinstance(value, int) and not isinstance(value, bool)
        if not is_whole or not minimum <= value <= LARGEST_WHOLE:
            raise self._error(key, f"a whole number, {minimum} or more")
        return int(value)

    def integer_or(self, key: str, default: int, minimum: int = 0) -> int:
        """Return a whole number that need not be given."""
        return self.integer(key, minimum) if key in self._table else default

    def number(self, key: str) -> float:
        """Return a number, 0 or more."""
        value = self._take(key)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self._error(key, "a number, 0 or more")
        if not 0 <= value <= LARGEST_WHOLE or math.isnan(value):
            raise self._error(key, "a number, 0 or more")
        return float(value)

    def address(self, key: str) -> str:
        """Return IP:PORT."""
        value = self.text(key)
        host, _, port = value.rpartition(":")
        if not _is_ip(host) or not port.isdecimal() or not 0 < int(port[:6]) <= LARGEST_PORT:
            raise self._error(key, "IP:PORT")
        return value

    def one_of(self, key: str, choices: Mapping[str, Choice]) -> Choice:
        """Return what a text stands for."""
        value = self.text(key)
        if value not in choices:
            raise self._error(key, f"one of {', '.join(choices)}")
        return choices[value]

    def tables(self, key: str) -> list["FieldReader"]:
        """Return the tables of a list that need not be given."""
        value = self._table.get(key, [])
        if not isinstance(value, list):
            raise self._error(key, "a list")
        return [FieldReader(row) for row in value]

    def _take(self, key: str) -> Any:
        if key not in self._table:
            raise RecordError(f"{key} is missing")
        return self._table[key]

    def _error(self, key: str, expected: str) -> RecordError:
        # Whoever wrote the record chose the value: it is not repeated whole.
        return RecordError(f"{key} = {self._table[key]!r:.40}: expected {expected}")


def _is_ip(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
