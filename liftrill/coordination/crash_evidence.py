"""Detects requests that terminate the workers on which they run, sans-IO.

The evidence is a set of facts, each about one run on one worker. Facts can be added in any order
and more than once. Times are on the clock of the node that holds the set.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

# A run is lost early if its response began less than this before its worker terminated. A request
# that crashes its worker at the beginning of a run does so after 46 to 93 ms.
EARLY_END_S = 0.25
# Workers that terminate closer together than this, with runs that overlap in time, may have one
# cause other than the runs, such as a power failure of a rack.
SEPARATE_END_S = 0.5
# How long before the end of the last run terminations of other workers count. This covers several
# bursts of crashes.
UNRELATED_END_WINDOW_S = 10.0
# The number of early ends that identify a request: where no worker terminates without the request,
# where some do, and where another request was lost on all of the same workers. With two instead
# of three in the first case, a fleet loses one worker less to each such request.
MIN_EARLY_ENDS_EXCLUSIVE = 2
MIN_EARLY_ENDS = 3
MIN_EARLY_ENDS_SHARED = 4
# The number of early and late ends together that identify a request where no worker terminates
# without it. Most runs that are lost by accident end late: with four, twice as many requests are
# quarantined where a third of all workers crashes every 1 to 4 s (virtual time).
MIN_ENDS = 5
# How long evidence is kept. Callers repeat requests within seconds or minutes.
RETENTION_S = 600.0
# The maximum number of requests with evidence, about 1 MB; the oldest are dropped first.
MAX_REQUESTS = 4096


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that was in progress when its worker terminated.

    Attributes:
        fingerprint: identifies the request.
        worker: identifies the incarnation of the worker.
        early: whether the response had not begun, or began less than `EARLY_END_S` before.
    """

    fingerprint: bytes
    worker: int
    early: bool
    sent_at: float
    ended_at: float


@dataclass(slots=True)
class CrashEvidence:
    """Evidence about lost runs and terminated workers."""

    _runs: dict[bytes, dict[int, LostRun]] = field(default_factory=dict)
    _ends: dict[int, float] = field(default_factory=dict)
    _served_at: dict[bytes, float] = field(default_factory=dict)
    _explained: set[int] = field(default_factory=set)

    def __len__(self) -> int:
        return len(self._runs)

    def add(self, run: LostRun) -> bool:
        """Add a lost run, and return whether it changed the evidence."""
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
        """Record that a worker terminated, with or without runs."""
        self._ends.setdefault(worker, at)

    def clear(self, fingerprint: bytes, at: float) -> bool:
        """Drop the runs of a request that was served; return whether there were any."""
        if fingerprint not in self._runs:
            return False
        del self._runs[fingerprint]
        self._served_at[fingerprint] = at
        return True

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether a worker terminated early in a run of a request."""
        return any(run.early for run in self.runs(fingerprint))

    def mark_explained(self, workers: Iterable[int], at: float) -> None:
        """Record that some workers terminated because of a request that is already known."""
        for worker in workers:
            self.record_end(worker, at)
            self._explained.add(worker)

    def has_ended(self, worker: int) -> bool:
        """Return whether a worker is known to have terminated."""
        return worker in self._ends

    def runs(self, fingerprint: bytes) -> list[LostRun]:
        """Return the lost runs of a request whose terminations are unexplained, by time."""
        runs = self._runs.get(fingerprint, {}).values()
        unexplained = (run for run in runs if run.worker not in self._explained)
        return sorted(unexplained, key=lambda run: run.ended_at)

    def reaches_quarantine_threshold(self, fingerprint: bytes) -> bool:
        """Return whether a request has enough lost runs that it may have to be quarantined."""
        runs = self.runs(fingerprint)
        early = [run for run in runs if run.early]
        # Copies of a request that are sent together terminate their workers together. Three early
        # ends are no coincidence, even if they are not separate.
        if len(early) >= MIN_EARLY_ENDS or _count_separate(early) >= MIN_EARLY_ENDS_EXCLUSIVE:
            return True
        return _count_separate(runs) >= MIN_ENDS

    def should_quarantine(self, fingerprint: bytes) -> bool:
        """Return whether the evidence shows that a request terminates its workers."""
        if not self.reaches_quarantine_threshold(fingerprint):
            return False
        runs = self.runs(fingerprint)
        early = _count_separate([run for run in runs if run.early])
        if early >= MIN_EARLY_ENDS_SHARED:
            return True
        if self._has_correlated_request(fingerprint):
            return False
        return early >= MIN_EARLY_ENDS or not self._others_terminated(runs)

    def expire(self, now: float) -> None:
        """Drop evidence that is older than `RETENTION_S`."""
        before = now - RETENTION_S
        for fingerprint, runs in list(self._runs.items()):
            kept = {worker: run for worker, run in runs.items() if run.ended_at >= before}
            if kept:
                self._runs[fingerprint] = kept
            else:
                del self._runs[fingerprint]
        self._ends = {worker: at for worker, at in self._ends.items() if at >= before}
        self._served_at = {name: at for name, at in self._served_at.items() if at >= before}
        self._explained.intersection_update(self._ends)

    def _others_terminated(self, runs: list[LostRun]) -> bool:
        """Return whether other workers terminated lately for an unknown cause."""
        since = runs[-1].ended_at - UNRELATED_END_WINDOW_S
        known = {run.worker for run in runs} | self._explained
        return any(at >= since for worker, at in self._ends.items() if worker not in known)

    def _has_correlated_request(self, fingerprint: bytes) -> bool:
        """Return whether another request lost runs on the same workers, and as early."""
        runs = self.runs(fingerprint)
        return any(
            all(run.worker in others and others[run.worker].early >= run.early for run in runs)
            for name, others in self._runs.items()
            if name != fingerprint
        )


def _merged(one: LostRun, other: LostRun) -> LostRun:
    """Return two runs of one request on one worker as one.

    The merged run is early only if both are: a late one shows that beginning the request did not
    terminate the worker.
    """
    return LostRun(
        one.fingerprint,
        one.worker,
        one.early and other.early,
        max(one.sent_at, other.sent_at),
        min(one.ended_at, other.ended_at),
    )


def _count_separate(runs: Iterable[LostRun]) -> int:
    """Return the number of separate worker terminations among runs in order of time."""
    count = 0
    last: LostRun | None = None
    for run in runs:
        if last is None or _is_separate(last, run):
            count += 1
            last = run
    return count


def _is_separate(last: LostRun, run: LostRun) -> bool:
    return run.sent_at >= last.ended_at or run.ended_at - last.ended_at >= SEPARATE_END_S
