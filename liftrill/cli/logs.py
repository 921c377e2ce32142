"""`liftrill logs`: what the logs of gateways tell afterwards."""

import sys
from collections.abc import Iterator
from pathlib import Path

from liftrill.gateway import log_reader


def explain(*files: Path, request: str) -> None:
    """Tell the story of one request over the logs of all processes.

    :param files: logs of all processes; standard input without any.
    :param request: the id that the caller sent.
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
        with path.open(errors="replace") as file:
            yield from file
