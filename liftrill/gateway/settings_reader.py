"""Takes checked values out of a settings file, without a library that memory is paid for."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from liftrill.errors import SettingsError

BYTES_PER_MEGABYTE = 1_048_576
BYTES_PER_MEGABIT = 125_000


class SettingsReader:
    """Takes checked values out of the file's tables."""

    def __init__(self, path: Path, table: Mapping[str, Any], prefix: str = "") -> None:
        self._path = path
        self._table = table
        self._prefix = prefix

    def section(self, key: str) -> "SettingsReader":
        """Return a table of the file."""
        return SettingsReader(self._path, self._take(key, dict, "a table"), f"{key}.")

    def section_or_empty(self, key: str) -> "SettingsReader":
        """Return a table that need not be given."""
        if key not in self._table:
            return SettingsReader(self._path, {}, f"{key}.")
        return self.section(key)

    def text(self, key: str) -> str:
        """Return a text."""
        return str(self._take(key, str, "a text"))

    def address(self, key: str) -> str:
        """Return a HOST:PORT."""
        value = self.text(key)
        host, separator, port = value.rpartition(":")
        if not (host and separator and port.isdigit()):
            raise self._error(key, value, "HOST:PORT")
        return value

    def number_or(self, key: str, default: float) -> float:
        """Return a number that need not be given."""
        return self.number(key) if key in self._table else default

    def flag(self, key: str) -> bool:
        """Return true or false."""
        return bool(self._take(key, bool, "true or false"))

    def number(self, key: str) -> float:
        """Return a number that is not negative."""
        value = self._take(key, (int, float), "a number, 0 or more")
        if isinstance(value, bool) or value < 0:
            raise self._error(key, value, "a number, 0 or more")
        return float(value)

    def seconds(self, key: str) -> float:
        """Return a time given in milliseconds, in seconds."""
        return self.number(key) / 1000.0

    def megabytes_or(self, key: str, default_bytes: int) -> int:
        """Return a size given in megabytes, in bytes, or a default."""
        if key not in self._table:
            return default_bytes
        return int(self.number(key) * BYTES_PER_MEGABYTE)

    def megabits_or(self, key: str, default_bytes: float) -> float:
        """Return a rate given in megabits a second, in bytes a second, or a default."""
        return self.number(key) * BYTES_PER_MEGABIT if key in self._table else default_bytes

    def texts(self, key: str) -> list[str]:
        """Return a list of texts."""
        return [str(value) for value in self._take(key, list, "a list")]

    def texts_or_none(self, key: str) -> list[str]:
        """Return a list of texts that need not be given."""
        return self.texts(key) if key in self._table else []

    def port(self, key: str, default: int) -> int:
        """Return a port that need not be given."""
        if key not in self._table:
            return default
        return int(self._take(key, int, "a port"))

    def first_port(self, key: str) -> int:
        """Return the first port of a range."""
        value = self._take(key, list, "two ports")
        if not value or not isinstance(value[0], int):
            raise self._error(key, value, "two ports")
        return int(value[0])

    def _take(self, key: str, kind: type | tuple[type, ...], expected: str) -> Any:
        if key not in self._table:
            raise self._error(key, "nothing", expected)
        value = self._table[key]
        if not isinstance(value, kind):
            raise self._error(key, value, expected)
        return value

    def _error(self, key: str, value: object, expected: str) -> SettingsError:
        return SettingsError(f"{self._path}: {self._prefix}{key} = {value!r}: expected {expected}")
