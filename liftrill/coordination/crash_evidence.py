"""Detects what terminates the workers on which it runs, sans-IO.

Each run that is lost with its worker is evidence about several subjects: its request, and each
part of its prompt that other requests may share. A subject is identified by a digest. The evidence
can be added in any order and more than once. Times are on the clock of the node that holds it.
"""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from liftrill.coordination.lost_runs import LostRun, SubjectLoss, count_separate

# A run is lost early if its response began less than this before its worker terminated. A request
# that crashes its worker at the beginning of a run does so after 46 to 93 ms.
EARLY_END_S = 0.25
# How long before the end of the last run terminations of other workers count. This covers several
# bursts of crashes.
UNRELATED_END_WINDOW_S = 10.0
# The number of early ends that identify a subject: where no worker terminates without it, where
# some do, and where another subject was lost on all of the same workers. With two instead of three
# in the first case, a fleet loses one worker less to each such subject.
MIN_EARLY_ENDS_EXCLUSIVE = 2
MIN_EARLY_ENDS = 3
MIN_EARLY_ENDS_SHARED = 4
# The number of early and late ends together that identify a request where no worker terminates
# without it. Most runs that are lost by accident end late: with four, twice as many requests are
# quarantined where a third of all workers crashes every 1 to 4 s (virtual time).
MIN_ENDS = 5
# How long evidence is kept. Callers repeat requests within seconds or minutes.
RETENTION_S = 600.0
# The maximum number of subjects with evidence, about 2 MB; the oldest are dropped first.
MAX_SUBJECTS = 4096
# Key of acquittals that hold for all environments.
ANY_ENVIRONMENT = 0


@dataclass(slots=True)
class CrashEvidence:
    """Evidence about lost runs and terminated workers."""

    _losses: dict[bytes, dict[int, SubjectLoss]] = field(default_factory=dict)
    # By worker: the subjects that lost runs there; some may have been dropped since.
    _subjects_at: dict[int, set[bytes]] = field(default_factory=dict)
    _ends: dict[int, float] = field(default_factory=dict)
    # By subject and environment: when it was served last.
    _served_at: dict[tuple[bytes, int], float] = field(default_factory=dict)
    # By worker whose termination is attributed: the subjects that may have caused it.
    _explained: dict[int, frozenset[bytes]] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._losses)

    def add(self, run: LostRun) -> bool:
        """Add a lost run, and return whether it changed the evidence."""
        self.record_end(run.worker, run.ended_at)
        loss = SubjectLoss.of(run)
        changed = [self._add_loss(subject, loss) for subject in run.subjects]
        while len(self._losses) > MAX_SUBJECTS:
            self._losses.pop(next(iter(self._losses)))
        return any(changed)

    def _add_loss(self, subject: bytes, loss: SubjectLoss) -> bool:
        served_at = max(
            self._served_at.get((subject, environment), -math.inf)
            for environment in (ANY_ENVIRONMENT, loss.environment)
        )
        if loss.ended_at <= served_at:
            return False
        losses = self._losses.setdefault(subject, {})
        self._subjects_at.setdefault(loss.worker, set()).add(subject)
        known = losses.get(loss.worker)
        losses[loss.worker] = known.merged(loss) if known else loss
        return known is None or losses[loss.worker].differs_from(known)

    def record_end(self, worker: int, at: float) -> None:
        """Record that a worker terminated, with or without runs."""
        self._ends.setdefault(worker, at)

    def clear(self, subject: bytes, at: float, environment: int = ANY_ENVIRONMENT) -> bool:
        """Drop the losses of a subject that was served at some time; return whether there were any.

        Later losses remain, and those in a known environment other than where it was served.
        """
        losses = self._losses.pop(subject, None)
        if losses is None:
            return False
        key = (subject, environment)
        self._served_at[key] = max(at, self._served_at.get(key, -math.inf))
        remaining = {
            worker: loss
            for worker, loss in losses.items()
            if loss.ended_at > at or not _is_same_environment(environment, loss.environment)
        }
        if remaining:
            self._losses[subject] = remaining
        return len(remaining) < len(losses)

    def is_suspect(self, subject: bytes) -> bool:
        """Return whether a worker terminated early in a run of a subject."""
        return any(loss.early for loss in self.losses(subject))

    def rank(self, subject: bytes) -> tuple[int, bytes]:
        """Return a key that sorts subjects of fewer lost requests first, alike on all nodes."""
        return sum(len(loss.requests) for loss in self.losses(subject)), subject

    def mark_explained(
        self, workers: Iterable[int], at: float, causes: Iterable[bytes] = ()
    ) -> None:
        """Record that one of some subjects made workers terminate."""
        for worker in workers:
            self.record_end(worker, at)
            self._explained[worker] = self._explained.get(worker, frozenset()) | frozenset(causes)

    def has_ended(self, worker: int) -> bool:
        """Return whether a worker is known to have terminated."""
        return worker in self._ends

    def ended_at(self, worker: int) -> float:
        """Return when a worker terminated, or minus infinity if that is not known."""
        return self._ends.get(worker, -math.inf)

    def losses(self, subject: bytes) -> list[SubjectLoss]:
        """Return the losses that count against a subject, by time.

        A termination that another subject explains counts only if both may have caused it, and
        only together with one that is not explained.
        """
        losses = self._losses.get(subject, {}).values()
        if all(loss.worker in self._explained for loss in losses):
            return []
        counted = (
            loss for loss in losses if subject in self._explained.get(loss.worker, {subject})
        )
        return sorted(counted, key=lambda loss: loss.ended_at)

    def reaches_quarantine_threshold(self, subject: bytes) -> bool:
        """Return whether a subject may have to be quarantined.

        It has enough losses, and no single subject of fewer requests explains them as well. Where
        several such subjects do, what they have in common is the likelier cause.
        """
        if not self._has_enough_ends(subject):
            return False
        losses = self.losses(subject)
        narrower = [
            other
            for name, other in self._subjects_with(subject, losses)
            if _is_narrower(name, other, subject, losses) and self._has_enough_ends(name)
        ]
        return not any(
            all(_is_nested(one, other, losses) for other in narrower) for one in narrower
        )

    def _has_enough_ends(self, subject: bytes) -> bool:
        losses = self.losses(subject)
        early = [loss for loss in losses if loss.early]
        # Copies of a request that are sent together terminate their workers together. Three early
        # ends are no coincidence, even if they are not separate.
        if len(early) >= MIN_EARLY_ENDS or count_separate(early) >= MIN_EARLY_ENDS_EXCLUSIVE:
            return True
        return count_separate(losses) >= MIN_ENDS

    def should_quarantine(self, subject: bytes) -> bool:
        """Return whether the evidence shows that a subject terminates its workers."""
        if not self.reaches_quarantine_threshold(subject):
            return False
        losses = self.losses(subject)
        early = count_separate([loss for loss in losses if loss.early])
        if early >= MIN_EARLY_ENDS_SHARED:
            return True
        own = {loss.worker: loss for loss in losses}
        others = self._subjects_with(subject, losses)
        if any(not _is_nested(own, other, losses) for _, other in others):
            return False
        return early >= MIN_EARLY_ENDS or not self._others_terminated(losses)

    def companions(self, subject: bytes) -> tuple[bytes, ...]:
        """Return the other subjects of all lost runs of a subject."""
        losses = self.losses(subject)
        if not losses:
            return ()
        others = self._subjects_with(subject, losses)
        return tuple(sorted(name for name, other in others if _contains(other, losses)))

    def expire(self, now: float) -> None:
        """Drop evidence that is older than `RETENTION_S`."""
        before = now - RETENTION_S
        for subject, losses in list(self._losses.items()):
            kept = {worker: loss for worker, loss in losses.items() if loss.ended_at >= before}
            if kept:
                self._losses[subject] = kept
            else:
                del self._losses[subject]
        self._ends = {worker: at for worker, at in self._ends.items() if at >= before}
        self._served_at = {key: at for key, at in self._served_at.items() if at >= before}
        self._explained = {w: names for w, names in self._explained.items() if w in self._ends}
        self._subjects_at = {w: names for w, names in self._subjects_at.items() if w in self._ends}

    def _others_terminated(self, losses: list[SubjectLoss]) -> bool:
        """Return whether other workers terminated lately for an unknown cause."""
        since = losses[-1].ended_at - UNRELATED_END_WINDOW_S
        known = {loss.worker for loss in losses} | set(self._explained)
        return any(at >= since for worker, at in self._ends.items() if worker not in known)

    def _subjects_with(
        self, subject: bytes, losses: list[SubjectLoss]
    ) -> Iterator[tuple[bytes, dict[int, SubjectLoss]]]:
        """Return the other subjects that lost runs on all workers of some losses, as early."""
        for name in self._subjects_at.get(losses[0].worker, ()):
            others = self._losses.get(name, {})
            if name != subject and all(
                loss.worker in others and others[loss.worker].early >= loss.early for loss in losses
            ):
                yield name, others


def _is_same_environment(one: int, other: int) -> bool:
    return one == other or ANY_ENVIRONMENT in (one, other)


def _contains(others: dict[int, SubjectLoss], losses: list[SubjectLoss]) -> bool:
    """Return whether all requests of some losses also belong to another subject."""
    return all(others[loss.worker].requests >= loss.requests for loss in losses)


def _is_nested(
    one: dict[int, SubjectLoss], other: dict[int, SubjectLoss], losses: list[SubjectLoss]
) -> bool:
    """Return whether all requests of one subject at the workers belong to another, or reverse."""
    lost = [(one[loss.worker].requests, other[loss.worker].requests) for loss in losses]
    return all(a >= b for a, b in lost) or all(a <= b for a, b in lost)


def _is_narrower(
    name: bytes, others: dict[int, SubjectLoss], subject: bytes, losses: list[SubjectLoss]
) -> bool:
    """Return whether another subject explains the losses of a subject with fewer requests.

    Of two subjects with the same requests, the request itself is the narrower one, or the one
    with the smaller digest, so that all nodes choose the same.
    """
    if not all(others[loss.worker].requests <= loss.requests for loss in losses):
        return False
    if any(others[loss.worker].requests < loss.requests for loss in losses):
        return True
    requests = losses[0].requests
    return subject not in requests and (name in requests or name < subject)
