"""Reads validated fields of a record from an untrusted writer.

The record may lack fields or have fields of another type. An invalid record that was accepted as
an engine's would get requests that no engine serves.
"""

import base64
import ipaddress
import json
import math
import re
from collections.abc import Mapping
from typing import Any, TypeVar

from liftrill.gateway.record_decoder import RecordError

# Integers in records are signed 64-bit numbers.
MAX_INTEGER = 2**63 - 1
MIN_INTEGER = -(2**63)
# The store's own numbers may be unsigned.
MAX_NUMBER = 2**64 - 1
# Neither JSON, nor a protobuf message, nor UTF-8, so that every decoder refuses it.
UNREADABLE_VALUE = b"\xff"
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
# An engine's record takes some hundred bytes, and less than 100 more for each of its models.
MAX_RECORD_BYTES = 65_536
# The longest id that fits into a key of the store.
_IDENTIFIER = re.compile(r"[!-~]{1,200}")
MAX_SHOWN_CHARACTERS = 40

Choice = TypeVar("Choice")
Number = TypeVar("Number", int, float)


class FieldReader:
    """Reads validated fields of one JSON object in a record.

    Attributes:
        table: the object as it was decoded, with values that nobody has validated.
    """

    def __init__(self, table: object) -> None:
        if not isinstance(table, dict):
            raise RecordError(f"expected an object, got {type(table).__name__}")
        self.table: dict[str, Any] = table

    @classmethod
    def of_json(cls, value: bytes) -> "FieldReader":
        """Return a reader of a JSON object.

        Raises:
            RecordError: the value is too large, not valid JSON, or not an object.
        """
        if len(value) > MAX_RECORD_BYTES:
            raise RecordError(f"record of {len(value)} bytes, expected at most {MAX_RECORD_BYTES}")
        return cls(decode_json(value))

    def text(self, key: str) -> str:
        """Return a string that is not empty and can be encoded."""
        value = self._required(key)
        if not isinstance(value, str) or not value:
            raise self._error(key, "a non-empty string")
        return text(value)

    def integer(self, key: str, minimum: int = 0) -> int:
        """Return an integer of at most 64 bits."""
        value = self._required(key)
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if not is_integer or not minimum <= value <= MAX_INTEGER:
            raise self._error(key, f"an integer, {minimum} or more")
        return int(value)

    def integer_or(self, key: str, default: int, minimum: int = 0) -> int:
        """Return an integer, or the default if the field is missing."""
        return self.integer(key, minimum) if key in self.table else default

    def number_in(self, key: str, default: int | None = None, maximum: int = MAX_NUMBER) -> int:
        """Return an integer from 0 to a maximum, or the default for any other value."""
        try:
            return whole(self.table.get(key), 0, maximum)
        except RecordError:
            if default is None:
                raise
            return default

    def flag(self, key: str) -> bool:
        """Return whether a field is set to true, or to another value that is not empty."""
        return bool(self.table.get(key))

    def base64(self, key: str, default: bytes) -> bytes:
        """Return the bytes that a string encodes, or the default for anything else."""
        value = self.table.get(key)
        try:
            return base64.b64decode(value, validate=True) if isinstance(value, str) else default
        except ValueError:
            return default

    def number(self, key: str) -> float:
        """Return a number, 0 or more."""
        value = self._required(key)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self._error(key, "a number, 0 or more")
        if not 0 <= value <= MAX_INTEGER or math.isnan(value):
            raise self._error(key, "a number, 0 or more")
        return float(value)

    def address(self, key: str) -> str:
        """Return an address in the form IP:PORT."""
        value = self.text(key)
        host, _, port = value.rpartition(":")
        if not _is_ip(host) or not is_port(port):
            raise self._error(key, "IP:PORT")
        return value

    def one_of(self, key: str, choices: Mapping[str, Choice]) -> Choice:
        """Return the value that a string is mapped to by `choices`."""
        value = self.text(key)
        if value not in choices:
            raise self._error(key, f"one of {', '.join(choices)}")
        return choices[value]

    def tables(self, key: str) -> list["FieldReader"]:
        """Return the objects of a list, or an empty list if the field is missing."""
        value = self.table.get(key, [])
        if not isinstance(value, list):
            raise self._error(key, "a list")
        return [FieldReader(row) for row in value]

    def values(self, key: str, is_optional: bool) -> list[Any]:
        """Return the values of a list, or an empty list if an optional field is missing."""
        value = self.table.get(key)
        if value is None and is_optional:
            return []
        if not isinstance(value, list):
            raise RecordError(f"{key}: expected a list, got {type(value).__name__}")
        return value

    def _required(self, key: str) -> Any:
        if key not in self.table:
            raise RecordError(f"field {key} is missing")
        return self.table[key]

    def _error(self, key: str, expected: str) -> RecordError:
        # The value is untrusted and may be long: the message contains only its beginning.
        return RecordError(f"{key} = {self.table[key]!r:.40}: expected {expected}")


def decode_json(value: bytes) -> Any:
    """Return the content of a JSON text.

    Raises:
        RecordError: it is not valid JSON, or nested too deeply.
    """
    try:
        return json.loads(value)
    except (ValueError, RecursionError) as error:
        raise RecordError(f"invalid JSON: {type(error).__name__}") from error


def identifier(value: str) -> str:
    """Return an id that can be sent in a header.

    Raises:
        RecordError: it is empty or too long, or not of printable ASCII without blanks.
    """
    if _IDENTIFIER.fullmatch(value) is None:
        raise RecordError(
            f"expected an id of printable ASCII, got {value[:MAX_SHOWN_CHARACTERS]!r}"
        )
    return value


def text(value: object) -> str:
    """Return a string that can be encoded in messages to peers.

    Raises:
        RecordError: it is not a string, or has surrogates.
    """
    if not isinstance(value, str):
        raise RecordError(f"expected a string, got {type(value).__name__}")
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise RecordError(f"expected valid Unicode: {error.reason}") from error
    return value


def whole(value: object, minimum: int = MIN_INTEGER, maximum: int = MAX_INTEGER) -> int:
    """Return a number, or its decimal notation, as an integer in a range.

    Raises:
        RecordError: it is not a number, not finite or out of range.
    """
    number = int(finite(value)) if isinstance(value, float) else _number(value, int)
    if not minimum <= number <= maximum:
        raise RecordError(f"{value!r:.40}: expected an integer, {minimum} or more")
    return number


def finite(value: object) -> float:
    """Return a number, or its decimal notation, of the range of 64-bit integers.

    Raises:
        RecordError: it is not a number, not finite or out of range.
    """
    number = _number(value, float)
    if not MIN_INTEGER <= number <= MAX_INTEGER:
        raise RecordError(f"{value!r:.40}: expected a number of at most 64 bits")
    return number


def _number(value: object, kind: type[Number]) -> Number:
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        raise RecordError(f"expected a number, got {type(value).__name__}")
    try:
        return kind(value)
    except (ValueError, OverflowError) as error:
        raise RecordError(f"expected a number: {error}") from error


def is_port(value: str) -> bool:
    """Return whether a text is the decimal notation of a port, 0 excepted."""
    is_short = value.isascii() and value.isdecimal() and len(value) <= MAX_PORT_DIGITS
    return is_short and 0 < int(value) <= MAX_PORT


def _is_ip(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
