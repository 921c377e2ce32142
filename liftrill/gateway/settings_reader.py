"""Reads validated values of a settings file, without a library that would cost memory."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from liftrill.errors import SettingsError
from liftrill.gateway.field_reader import is_port

BYTES_PER_MEGABYTE = 1_048_576
BYTES_PER_MEGABIT = 125_000
# No time, size or rate is larger; also excludes infinity and NaN.
MAX_NUMBER = 2**53


class SettingsReader:
    """Reads validated values of one table in a settings file."""

    def __init__(self, path: Path, table: Mapping[str, Any], prefix: str = "") -> None:
        self._path = path
        self._table = table
        self._prefix = prefix

    def section(self, key: str) -> "SettingsReader":
        """Return the reader of a table."""
        return SettingsReader(self._path, self._required(key, dict, "a table"), f"{key}.")

    def section_or_empty(self, key: str) -> "SettingsReader":
        """Return the reader of a table, or of an empty one if the table is missing."""
        if key not in self._table:
            return SettingsReader(self._path, {}, f"{key}.")
        return self.section(key)

    def text(self, key: str) -> str:
        """Return a string."""
        return str(self._required(key, str, "a string"))

    def address(self, key: str) -> str:
        """Return an address in the form HOST:PORT."""
        value = self.text(key)
        host, _, port = value.rpartition(":")
        if not host or not is_port(port):
            raise self._error(key, value, "HOST:PORT")
        return value

    def number_or(self, key: str, default: float) -> float:
        """Return a number, or the default if the key is missing."""
        return self.number(key) if key in self._table else default

    def flag(self, key: str) -> bool:
        """Return a boolean."""
        return bool(self._required(key, bool, "true or false"))

    def number(self, key: str) -> float:
        """Return a number, 0 or more."""
        value = self._required(key, (int, float), "a number, 0 or more")
        if isinstance(value, bool) or not 0 <= value <= MAX_NUMBER:
            raise self._error(key, value, "a number, 0 or more")
        return float(value)

    def seconds(self, key: str) -> float:
        """Return a time in seconds that is given in milliseconds."""
        return self.number(key) / 1000.0

    def megabytes_or(self, key: str, default_bytes: int) -> int:
        """Return a size in bytes that is given in megabytes, or the default if missing."""
        if key not in self._table:
            return default_bytes
        return int(self.number(key) * BYTES_PER_MEGABYTE)

    def megabits_or(self, key: str, default_bytes: float) -> float:
        """Return a rate in bytes per second that is given in Mbit/s, or the default if missing."""
        return self.number(key) * BYTES_PER_MEGABIT if key in self._table else default_bytes

    def texts(self, key: str) -> list[str]:
        """Return a list of strings."""
        return [str(value) for value in self._required(key, list, "a list")]

    def texts_or_none(self, key: str) -> list[str]:
        """Return a list of strings, or an empty list if the key is missing."""
        return self.texts(key) if key in self._table else []

    def port(self, key: str, default: int) -> int:
        """Return a port, or the default if the key is missing."""
        if key not in self._table:
            return default
        return self._port(key, self._required(key, int, "a port"))

    def first_port(self, key: str) -> int:
        """Return the first port of a range, which is given as a list of two ports."""
        value = self._required(key, list, "a list of two ports")
        if not value:
            raise self._error(key, value, "a list of two ports")
        return self._port(key, value[0])

    def second_port(self, key: str) -> int | None:
        """Return the second port of a range of ports, or None if it has only one."""
        value = self._required(key, list, "a list of two ports")
        first = self.first_port(key)
        if len(value) < 2 or self._port(key, value[1]) <= first:
            return None
        return first + 1

    def _port(self, key: str, value: object) -> int:
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if not is_integer or not is_port(str(value)):
            raise self._error(key, value, "a port, 1 to 65535")
        return int(str(value))

    def _required(self, key: str, kind: type | tuple[type, ...], expected: str) -> Any:
        if key not in self._table:
            raise self._error(key, "nothing", expected)
        value = self._table[key]
        if not isinstance(value, kind):
            raise self._error(key, value, expected)
        return value

    def _error(self, key: str, value: object, expected: str) -> SettingsError:
        return SettingsError(f"{self._path}: {self._prefix}{key} = {value!r}: expected {expected}")
