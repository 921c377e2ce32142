"""`liftrill bench`: measurements."""

import tempfile
from dataclasses import asdict
from pathlib import Path

import orjson
import uvloop

from liftrill.bench.overhead import format_overhead, measure_overhead


def overhead(
    *,
    seed: int = 1,
    requests_per_second: float = 100.0,
    seconds: float = 20.0,
    streams: int = 48,
    json: bool = False,
) -> None:
    """Measure what a node adds to an engine called directly, paired in one run.

    :param seed: seed of the order within pairs
    :param requests_per_second: rate of the pairs
    :param seconds: duration of the pairs
    :param streams: streams read at once for the streaming capacity
    :param json: print JSON
    """
    with tempfile.TemporaryDirectory(prefix="liftrill-overhead-") as directory:
        result = uvloop.run(
            measure_overhead(Path(directory), seed, requests_per_second, seconds, streams)
        )
    _print(asdict(result), format_overhead(result), json)


def _print(content: object, text: str, as_json: bool) -> None:
    if as_json:
        print(orjson.dumps(content, option=orjson.OPT_INDENT_2).decode())
    else:
        print(text)
