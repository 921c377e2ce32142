"""Runs that this node observed: what engines served, and what was lost with engines that ended."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import xxhash

from liftrill.coordination.crash_evidence import EARLY_END_S
from liftrill.coordination.lost_runs import LostRun
from liftrill.gateway.delivery_events import EngineChoice
from liftrill.gateway.delivery_times import AttemptTimes
from liftrill.gateway.opaque_request import OpaqueRequest, tenant_number
from liftrill.gateway.quarantine_list import QuarantineEntry

# How many requests are remembered, and up to which body size: 2 MB at most, 0.2 MB with bodies of
# 1.5 KB.
MAX_REQUESTS = 128
MAX_BODY_BYTES = 16 * 1024
# For how long a served request counts as harmless to engines; a request that many callers send is
# served far more often.
RECENT_S = 10.0
# How many prompt parts are remembered, about 0.4 MB. The oldest are dropped first.
MAX_PARTS = 2048
# For how long a served part counts as harmless to engines. A part that begins to crash engines was
# served until then, so this is shorter than for a request, which does not change.
PART_RECENT_S = 3.0
# How long before its engine was found to have ended a run may have been lost: a refused connection
# shows the end within milliseconds, over a slow link later.
LOSS_WINDOW_S = 0.5
# How long losses are kept at most: longer than it takes to ask who answers at an engine's address.
PENDING_KEPT_S = 2.0


@dataclass(slots=True)
class ServedRequests:
    """The last requests served for this node; their fingerprints are computed only on lookup."""

    _served: deque[tuple[float, OpaqueRequest]] = field(
        default_factory=lambda: deque(maxlen=MAX_REQUESTS)
    )

    def record(self, request: OpaqueRequest, now: float) -> None:
        """Remember a request that was served now."""
        if len(request.body) <= MAX_BODY_BYTES:
            self._served.append((now, request))

    def has_served(self, fingerprint: bytes, before: float) -> bool:
        """Return whether a request was served shortly before a time, or since."""
        since = before - RECENT_S
        return any(at >= since and r.fingerprint == fingerprint for at, r in self._served)


@dataclass(slots=True)
class ServedParts:
    """The prompt parts that engines served for this node lately, and under which software version.

    A part that begins to crash engines was served until then. So a service acquits a part of the
    first crash after it only, and of those before it.
    """

    _served_at: dict[tuple[bytes, int], float] = field(default_factory=dict)
    # By part and version: the first engine that ended since the last service.
    _acquitted_at: dict[tuple[bytes, int], int] = field(default_factory=dict)

    def record(self, digests: Iterable[bytes], environment: int, now: float) -> None:
        """Remember parts that an engine of some software version served now."""
        for digest in digests:
            key = (digest, environment)
            # The entry moves to the end: the first one is the oldest.
            self._served_at.pop(key, None)
            self._acquitted_at.pop(key, None)
            self._served_at[key] = now
        while len(self._served_at) > MAX_PARTS:
            oldest = next(iter(self._served_at))
            del self._served_at[oldest]
            self._acquitted_at.pop(oldest, None)

    def acquits(self, digest: bytes, run: LostRun) -> bool:
        """Return whether the service of a part shows that it did not crash a run's engine."""
        key = (digest, run.environment)
        served_at = self._served_at.get(key)
        if served_at is None or served_at < run.ended_at - PART_RECENT_S:
            return False
        if served_at >= run.ended_at:
            return True
        return self._acquitted_at.setdefault(key, run.worker) == run.worker


def environment_number(choice: EngineChoice) -> int:
    """Return the hash of the software version that a run was sent to.

    It leaves out the version of the weights: while weights change often, a sound part would rarely
    be served under the version of a lost run, and old weights are out of use within seconds.
    """
    return xxhash.xxh3_64_intdigest(choice.software_version.encode())


@dataclass(frozen=True, slots=True)
class LocalLoss:
    """A run that this node lost, with what only this node knows of its request."""

    run: LostRun
    route: str
    tenant: str
    part_ids: dict[bytes, str]

    def described(self, entry: QuarantineEntry) -> QuarantineEntry:
        """Return an entry for one of the run's subjects with its route, tenant and part."""
        part = self.part_ids.get(entry.fingerprint, "")
        return replace(entry, route=self.route, tenant=self.tenant, part=part)


def local_loss(
    request: OpaqueRequest, choice: EngineChoice, times: AttemptTimes, now: float
) -> LocalLoss:
    """Return the loss of a run that was interrupted or abandoned now."""
    first = times.first_event_at
    early = first is None or now - first < EARLY_END_S
    # A run that went on after its first event shows that its parts do not crash the engine.
    part_ids = request.part_ids if early else {}
    run = LostRun(
        request.fingerprint,
        choice.number,
        early,
        times.sent_at,
        now,
        tuple(part_ids),
        tenant_number(request.tenant),
        environment_number(choice),
    )
    return LocalLoss(run, request.route.name, request.tenant, part_ids)


@dataclass(slots=True)
class LocalLosses:
    """The runs that this node lost lately."""

    # By engine that is not known to have ended.
    _pending: dict[int, list[LocalLoss]] = field(default_factory=dict)
    # By suspect request or part: one of its runs.
    _of_subject: dict[bytes, LocalLoss] = field(default_factory=dict)

    def add_pending(self, loss: LocalLoss) -> None:
        """Remember a loss until its engine is found ended."""
        self._pending.setdefault(loss.run.worker, []).append(loss)

    def pop_pending(self, engine: int) -> list[LocalLoss]:
        """Return and forget the losses at an engine that was found ended."""
        return self._pending.pop(engine, [])

    def add_evidence(self, loss: LocalLoss) -> None:
        """Remember a loss that became evidence about its subjects."""
        for subject in loss.run.subjects:
            self._of_subject[subject] = loss

    def pop(self, subject: bytes) -> LocalLoss | None:
        """Return and forget a loss of a subject, or return None if this node lost none."""
        return self._of_subject.pop(subject, None)

    def subjects(self) -> list[bytes]:
        """Return the subjects of which this node lost runs."""
        return list(self._of_subject)

    def expire(self, now: float) -> None:
        """Forget losses at engines that were not found ended in time."""
        for engine, losses in list(self._pending.items()):
            remaining = [loss for loss in losses if now - loss.run.ended_at <= PENDING_KEPT_S]
            if remaining:
                self._pending[engine] = remaining
            else:
                del self._pending[engine]
