"""Draws scripts of answers and their ends, plays them against a node, and shrinks what fails.

    python -m features.soak.response_fuzz --seconds 3600 --seed N

A failure is printed with its seed and the shortest script found, which `--play` plays again. Cases
that nothing between an engine and a caller can decide, and those that are known to be decided
wrongly, are drawn only if `--include` names them.
With `--survey` nothing is shrunk, and the first failure of each kind is counted and printed.
"""

import argparse
import asyncio
import os
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis.errors import Flaky

from features.soak.answer_scripts import OPEN, UNDECIDABLE, Play, play_of, plays
from features.soak.script_player import ScriptPlayer
from features.standin.deployment import Deployment

# The plays of a batch have a node and a seed of their own.
BATCH = 50
SHRINKS_FOR_S = 90.0
REPEATS = 5


class FaultFoundError(Exception):
    """Raised for a play whose answers are wrong, so that it is shrunk."""


@dataclass
class Found:
    """A play whose answers were wrong."""

    kind: str
    number: int
    seed: int
    play: Play
    faults: list

    def __str__(self):
        details = "".join(f"\n  {kind}: {seen}\n    {script}" for script, kind, seen in self.faults)
        return (
            f"play {self.number}, seed {self.seed}: {self.kind}{details}\n"
            f"  --play '{self.play.text()}'"
        )


@dataclass
class ResponseFuzz:
    """Plays drawn scripts until the answers of one are wrong, or the time is over.

    Attributes:
        include: the kinds of undecidable cases that are drawn too.
        is_survey: whether it goes on after a failure, and shrinks none.
        played: how many plays there were, without those that shrink another.
        found: the first play for each kind of fault, or the shortest one.
    """

    include: tuple = ()
    is_survey: bool = False
    played: int = 0
    counts: dict = field(default_factory=dict)
    found: dict = field(default_factory=dict)

    def run(self, number, seconds, max_plays=None):
        """Play batches with the seeds from a number on; return whether no answer was wrong."""
        until = time.monotonic() + seconds
        while time.monotonic() < until and self.played != max_plays:
            self._run_batch(number, until, max_plays)
            if self.found and not self.is_survey:
                break
            number += 1
        return not self.found

    def _run_batch(self, number, until, max_plays):
        def is_over():
            if not self.found or self.is_survey:
                return time.monotonic() >= until or self.played == max_plays
            return time.monotonic() >= self._shrinks_until

        with asyncio.Runner() as runner, tempfile.TemporaryDirectory() as directory:
            stack = AsyncExitStack()
            try:
                player = runner.run(_start(stack, Path(directory), self.include))

                def try_play(play):
                    if not is_over():
                        self._note(number, play, runner.run(player.play(play)))

                self._draw(number, try_play)
            finally:
                runner.run(stack.aclose())

    def _draw(self, number, try_play):
        phases = [Phase.generate] + [Phase.shrink] * (not self.is_survey)
        limits = settings(
            max_examples=BATCH,
            database=None,
            deadline=None,
            phases=phases,
            suppress_health_check=list(HealthCheck),
            report_multiple_bugs=False,
            print_blob=False,
        )
        try:
            seed(number)(limits(given(plays(self.include))(try_play)))()
        except (FaultFoundError, Flaky):
            # The shortest play that failed has been noted; timing decides whether it fails again.
            assert self.found

    def _note(self, number, play, faults):
        """Note a play; raise an error for hypothesis to shrink it."""
        is_shrinking = self.found and not self.is_survey
        self.played += not is_shrinking
        if not faults:
            return
        for kind in dict.fromkeys(f"{kind} ({script.end()})" for script, kind, _ in faults):
            self.counts[kind] = self.counts.get(kind, 0) + 1
            if is_shrinking or kind not in self.found:
                self.found[kind] = Found(kind, self.played, number, play, faults)
        if not self.is_survey:
            if not is_shrinking:
                self._shrinks_until = time.monotonic() + SHRINKS_FOR_S
                print(f"found after {self.played} plays", flush=True)
            raise FaultFoundError


async def _start(stack, directory, include=()):
    deployment = await stack.enter_async_context(Deployment(directory))
    return await stack.enter_async_context(ScriptPlayer(deployment, include))


async def play_again(play, times, log_path=None):
    """Play one again and again; return how often its answers were wrong, which is printed."""
    failed = 0
    with tempfile.TemporaryDirectory() as directory:
        async with AsyncExitStack() as stack:
            player = await _start(stack, Path(directory), OPEN)
            for _ in range(times):
                faults = await player.play(play)
                failed += bool(faults)
                for script, kind, seen in faults:
                    print(f"{kind}: {seen}\n  {script}", flush=True)
            if log_path is not None:
                log = await asyncio.to_thread(player.deployment.nodes[0].log)
                await asyncio.to_thread(log_path.write_text, log)
    print(f"{failed} of {times} plays failed")
    return failed


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=int.from_bytes(os.urandom(3), "big"))
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--plays", type=int, help="at most so many")
    parser.add_argument("--include", nargs="*", default=[], choices=(*UNDECIDABLE, *OPEN))
    parser.add_argument("--survey", action="store_true", help="count failures, shrink none")
    parser.add_argument("--play", type=play_of, help="a script that was printed, played again")
    parser.add_argument("--times", type=int, default=REPEATS, help="how often to play it")
    parser.add_argument("--log", type=Path, help="where to write the node's log of such plays")
    options = parser.parse_args()
    if options.play:
        return bool(asyncio.run(play_again(options.play, options.times, options.log)))
    fuzz = ResponseFuzz(tuple(options.include), options.survey)
    began_at = time.monotonic()
    is_sound = fuzz.run(options.seed, options.seconds, options.plays)
    for found in fuzz.found.values():
        print(found)
    print(
        f"seed {options.seed}: {fuzz.played} plays in {time.monotonic() - began_at:.0f} s, "
        f"failed: {fuzz.counts}"
    )
    return 0 if is_sound else 1


if __name__ == "__main__":
    sys.exit(main())
