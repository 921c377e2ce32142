"""Tells requests under which workers end from those that ran there by accident, sans-IO.

What is known is a set of facts, each about one run on one worker: it can be merged in any
order and told more than once. Times are on the clock of whoever holds the set.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

# A run whose answer began less than this before its worker ended had hardly begun: crashes at
# the beginning of a run were seen 46 to 93 ms after it (measured on nine workers).
EARLY_END_S = 0.25
# Workers that end closer together than this, with runs that were there at the same time, may
# have ended of one cause that is none of the runs: a rack without power (guess).
APART_S = 0.5
# For how long back it counts that workers end without a request (guess: some spells of crashes).
BESIDE_S = 10.0
# How many early ends tell of a request where no worker ends without it, where some do, and where
# another request met all the same ends. With two, a fleet loses one worker less to each such
# request than with three.
EARLY_ENDS_ALONE = 2
EARLY_ENDS = 3
EARLY_ENDS_TOGETHER = 4
# The same for runs that had gone on for a while, as most that meet an end by accident have. With
# four, twice as many requests were condemned where a third of all workers crashes every 1 to 4 s
# (virtual time).
ENDS_ALONE = 5
# What is known of a request that was neither sent again nor served is forgotten after this
# (guess: callers repeat within seconds or minutes).
RETENTION_S = 600.0
# The most requests that are remembered; the oldest go first. 1 MB.
MAX_REQUESTS = 4096


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that was under way when its worker ended.

    Attributes:
        fingerprint: names the request.
        worker: names the incarnation of the worker.
        early: whether its answer had not begun, or less than `EARLY_END_S` before.
    """

    fingerprint: bytes
    worker: int
    early: bool
    sent_at: float
    ended_at: float


@dataclass(slots=True)
class CrashEvidence:
    """What is known of runs that workers ended under, and of workers that ended."""

    _runs: dict[bytes, dict[int, LostRun]] = field(default_factory=dict)
    _ends: dict[int, float] = field(default_factory=dict)
    _served_at: dict[bytes, float] = field(default_factory=dict)
    _explained: set[int] = field(default_factory=set)

    def __len__(self) -> int:
        return len(self._runs)

    def add(self, run: LostRun) -> bool:
        """Take in a run, and return whether it was news."""
        self.record_end(run.worker, run.ended_at)
        if run.ended_at <= self._served_at.get(run.fingerprint, -math.inf):
            return False
        runs = self._runs.setdefault(run.fingerprint, {})
        known = runs.get(run.worker)
        runs[run.worker] = _merged(known, run) if known else run
        if runs[run.worker] == known:
            return False
        while len(self._runs) > MAX_REQUESTS:
            self._runs.pop(next(iter(self._runs)))
        return True

    def record_end(self, worker: int, at: float) -> None:
        """Note that a worker ended, whatever ran there."""
        self._ends.setdefault(worker, at)

    def clear(self, fingerprint: bytes, at: float) -> bool:
        """Note that a request was served: it ends no workers; return whether it was suspect."""
        if fingerprint not in self._runs:
            return False
        del self._runs[fingerprint]
        self._served_at[fingerprint] = at
        return True

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether a worker ended soon after it had begun a request."""
        return any(run.early for run in self.runs(fingerprint))

    def mark_explained(self, workers: Iterable[int], at: float) -> None:
        """Note that some workers ended because of a request that is known by now."""
        for worker in workers:
            self.record_end(worker, at)
            self._explained.add(worker)

    def has_ended(self, worker: int) -> bool:
        """Return whether a worker is known to have ended."""
        return worker in self._ends

    def runs(self, fingerprint: bytes) -> list[LostRun]:
        """Return the runs of a request under which workers ended for no known reason, by time."""
        runs = self._runs.get(fingerprint, {}).values()
        unexplained = (run for run in runs if run.worker not in self._explained)
        return sorted(unexplained, key=lambda run: run.ended_at)

    def reaches_quarantine_threshold(self, fingerprint: bytes) -> bool:
        """Return whether as many workers ended under a request as may condemn it."""
        runs = self.runs(fingerprint)
        early = [run for run in runs if run.early]
        # Copies that are sent together end their workers together: three are no accident.
        if len(early) >= EARLY_ENDS or _separate(early) >= EARLY_ENDS_ALONE:
            return True
        return _separate(runs) >= ENDS_ALONE

    def should_quarantine(self, fingerprint: bytes) -> bool:
        """Return whether workers end because of a request, as far as that can be told."""
        if not self.reaches_quarantine_threshold(fingerprint):
            return False
        runs = self.runs(fingerprint)
        early = _separate([run for run in runs if run.early])
        if early >= EARLY_ENDS_TOGETHER:
            return True
        if self._has_companion(fingerprint):
            return False
        return early >= EARLY_ENDS or not self._ended_without(runs)

    def expire(self, now: float) -> None:
        """Forget what is old."""
        before = now - RETENTION_S
        for fingerprint, runs in list(self._runs.items()):
            left = {worker: run for worker, run in runs.items() if run.ended_at >= before}
            if left:
                self._runs[fingerprint] = left
            else:
                del self._runs[fingerprint]
        self._ends = {worker: at for worker, at in self._ends.items() if at >= before}
        self._served_at = {name: at for name, at in self._served_at.items() if at >= before}
        self._explained.intersection_update(self._ends)

    def _ended_without(self, runs: list[LostRun]) -> bool:
        """Return whether workers ended lately under none of some runs, for no known reason."""
        since = runs[-1].ended_at - BESIDE_S
        under = {run.worker for run in runs} | self._explained
        return any(at >= since for worker, at in self._ends.items() if worker not in under)

    def _has_companion(self, fingerprint: bytes) -> bool:
        """Return whether another request met the same ends, and as early."""
        runs = self.runs(fingerprint)
        return any(
            all(run.worker in others and others[run.worker].early >= run.early for run in runs)
            for name, others in self._runs.items()
            if name != fingerprint
        )


def _merged(one: LostRun, other: LostRun) -> LostRun:
    """Return two runs of one request on one worker as one.

    Where one of them had gone on for a while, the request did not end the worker by beginning.
    """
    return LostRun(
        one.fingerprint,
        one.worker,
        one.early and other.early,
        max(one.sent_at, other.sent_at),
        min(one.ended_at, other.ended_at),
    )


def _separate(runs: Iterable[LostRun]) -> int:
    """Return how many of some runs, by time, met an end of their own."""
    count = 0
    last: LostRun | None = None
    for run in runs:
        if last is None or _is_apart(last, run):
            count += 1
            last = run
    return count


def _is_apart(last: LostRun, run: LostRun) -> bool:
    return run.sent_at >= last.ended_at or run.ended_at - last.ended_at >= APART_S
