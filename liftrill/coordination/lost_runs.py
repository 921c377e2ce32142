"""Runs that were lost with terminated workers, and what they are evidence about."""

from collections.abc import Iterable
from dataclasses import dataclass

# Workers that terminate closer together than this, with runs that overlap in time, may have one
# cause other than the runs, such as a power failure of a rack.
SEPARATE_END_S = 0.5


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that was in progress when its worker terminated.

    Attributes:
        fingerprint: identifies the request.
        worker: identifies the incarnation of the worker.
        early: whether the response had not begun, or began less than `EARLY_END_S` before.
        parts: digests of the parts of an early run's prompt that may have crashed the worker.
        tenant: hash of the request's tenant, or 0 if unknown.
        environment: hash of the version of the worker's software, or 0 if unknown.
    """

    fingerprint: bytes
    worker: int
    early: bool
    sent_at: float
    ended_at: float
    parts: tuple[bytes, ...] = ()
    tenant: int = 0
    environment: int = 0

    @property
    def subjects(self) -> tuple[bytes, ...]:
        """What the run is evidence about: its request, and the parts of its prompt."""
        return (self.fingerprint, *self.parts)


@dataclass(frozen=True, slots=True)
class SubjectLoss:
    """The runs of one subject that were lost with one worker.

    Attributes:
        early: whether all of them were lost early. A late one shows that beginning a run of the
            subject did not terminate the worker.
        sent_at: when the last of them was sent.
        requests: the fingerprints of their requests.
        tenants: the hashes of their tenants.
    """

    worker: int
    early: bool
    sent_at: float
    ended_at: float
    requests: frozenset[bytes]
    tenants: frozenset[int]
    environment: int

    @classmethod
    def of(cls, run: LostRun) -> "SubjectLoss":
        """Return the loss of a single run."""
        return cls(
            run.worker,
            run.early,
            run.sent_at,
            run.ended_at,
            frozenset({run.fingerprint}),
            frozenset({run.tenant}),
            run.environment,
        )

    def differs_from(self, other: "SubjectLoss") -> bool:
        """Return whether two losses differ otherwise than by the ages in repeated reports."""
        return (self.early, self.requests, self.tenants) != (
            other.early,
            other.requests,
            other.tenants,
        )

    def merged(self, other: "SubjectLoss") -> "SubjectLoss":
        """Return two losses of a subject with the same worker as one."""
        return SubjectLoss(
            self.worker,
            self.early and other.early,
            max(self.sent_at, other.sent_at),
            min(self.ended_at, other.ended_at),
            self.requests | other.requests,
            self.tenants | other.tenants,
            self.environment or other.environment,
        )


def count_separate(losses: Iterable[SubjectLoss]) -> int:
    """Return the number of separate worker terminations among losses in order of time."""
    count = 0
    last: SubjectLoss | None = None
    for loss in losses:
        if last is None or _is_separate(last, loss):
            count += 1
            last = loss
    return count


def _is_separate(last: SubjectLoss, loss: SubjectLoss) -> bool:
    return loss.sent_at >= last.ended_at or loss.ended_at - last.ended_at >= SEPARATE_END_S
