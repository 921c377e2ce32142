"""`liftrill logs`: explanations and summaries from the logs of gateways."""

import sys
from collections.abc import Iterator
from pathlib import Path

from liftrill.errors import LiftrillError
from liftrill.gateway import log_reader


class LogFileError(LiftrillError):
    """A given log file cannot be read."""


def explain(request: str, *files: Path) -> None:
    """Explain what happened to one request, from the logs of all processes.

    :param request: id of the request, as sent by the caller
    :param files: logs of all processes; standard input if none is given
    """
    lines = log_reader.read_lines(_read_texts(files))
    print("\n".join(log_reader.explain(lines, request)))


def summary(*files: Path) -> None:
    """Count requests by outcome.

    :param files: logs of all processes; standard input if none is given
    """
    lines = log_reader.read_lines(_read_texts(files))
    print("\n".join(log_reader.summarize(lines)))


def _read_texts(files: tuple[Path, ...]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for path in files:
        try:
            with path.open(errors="replace") as file:
                yield from file
        except OSError as error:
            raise LogFileError(f"{path}: cannot be read: {error.strerror}") from error
