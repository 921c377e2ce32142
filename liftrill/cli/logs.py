"""`liftrill logs`: what the logs of gateways tell afterwards."""

import sys
from collections.abc import Iterator
from pathlib import Path

from liftrill.errors import LiftrillError
from liftrill.gateway import log_reader


class LogFileError(LiftrillError):
    """A log that was named cannot be read."""


def explain(request: str, *files: Path) -> None:
    """Tell the story of one request over the logs of all processes.

    :param request: the id that the caller sent.
    :param files: logs of all processes; standard input without any.
    """
    lines = log_reader.read_lines(_texts(files))
    print("\n".join(log_reader.explain(lines, request)))


def summary(*files: Path) -> None:
    """Count how requests ended.

    :param files: logs of all processes; standard input without any.
    """
    lines = log_reader.read_lines(_texts(files))
    print("\n".join(log_reader.summarize(lines)))


def _texts(files: tuple[Path, ...]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for path in files:
        try:
            with path.open(errors="replace") as file:
                yield from file
        except OSError as error:
            raise LogFileError(f"{path}: {error.strerror}") from error
