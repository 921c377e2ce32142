"""State that engines report about themselves, kept per incarnation; performs no I/O.

A signal is valid for one incarnation of an engine, independent of the engine's record in the
store: records are removed, written again and restored from older copies of the store while the
same engine keeps running.
"""

import math
import re
from collections.abc import Iterable
from dataclasses import dataclass, field

from liftrill.coordination.permits import Permit
from liftrill.gateway.delivery_events import EngineAddress

# Retention of engines without a record, counted from their last signal: a store that was
# unreachable for minutes may still restore the record.
RETENTION_S = 600.0
# Upper bound of one backoff: a mistyped Retry-After must not take an engine out of use permanently.
MAX_BACKOFF_S = 600.0
# After a backoff an engine gets one trial request per interval until it answers one: all waiting
# requests of all nodes at once would overload it again. About the duration of a plain answer.
TRIAL_INTERVAL_S = 0.25
# Weight orders wait no longer than this for a backoff: weights that an operator published must
# come into use within seconds, and an order puts no load on the engine.
MAX_ORDER_BACKOFF_S = 5.0
# Each expiry pass visits every entry, and few of them expire.
EXPIRY_INTERVAL_S = 10.0
# Upper bound of the entries: more than the engines that leave within RETENTION_S in a fleet of
# thousands; 400 bytes each, 1.6 MB in all.
MAX_ENTRIES = 4_096
# Accepts fractions; other forms of Retry-After, such as a date, are ignored.
DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)


def parse_decimals(values: Iterable[str]) -> list[float]:
    """Return the plain decimal numbers among header values, in seconds or requests a second."""
    return [float(value) for value in values if DECIMAL.fullmatch(value)]


@dataclass(frozen=True, slots=True)
class EngineSignal:
    """State that an engine reports about itself in one answer.

    Attributes:
        source: the kind of call that was answered, or "peer" if another node passed it on.
        status: the HTTP status of the answer, or 0.
        leaving: whether the engine is shutting down and takes no new requests.
        backoff_s: how long this node must send the engine nothing, or 0.
        limit_per_s: requests a second that the engine accepts from all nodes together, or None.
        permit: the permit of the answered request, or None.
        rejections_per_s: how many requests a second the engine can reject without ending, if it
            says that it is brittle, or None.
    """

    engine: EngineAddress
    source: str
    status: int = 0
    leaving: bool = False
    backoff_s: float = 0.0
    limit_per_s: float | None = None
    permit: Permit | None = None
    rejections_per_s: float | None = None


@dataclass(slots=True)
class EngineCondition:
    """Last reported state of one incarnation of an engine.

    Attributes:
        leaving: whether the engine reported in an answer or a record that it is shutting down;
            never reset.
        backoff_until: time before which this node must send the engine nothing.
        weights: the newest known version of each model.
        last_reported_at: time of the last signal, or of the removal of the engine's record.
    """

    leaving: bool = False
    backoff_until: float = -math.inf
    weights: dict[str, int] = field(default_factory=dict)
    last_reported_at: float = 0.0
    _backoff_since: float = 0.0
    _on_trial: bool = False
    _trial_until: float = -math.inf

    def begin_backoff(self, backoff_s: float, now: float) -> None:
        """Start or extend a backoff; of several requested ends the latest one holds."""
        if now >= self.backoff_until:
            self._backoff_since = now
        self.backoff_until = max(self.backoff_until, now + min(backoff_s, MAX_BACKOFF_S))
        self._on_trial = True

    def backoff_left_s(self, now: float) -> float:
        """Return how much longer this node sends the engine nothing, or 0."""
        return max(0.0, max(self.backoff_until, self._trial_until) - now)

    def is_backing_off(self, now: float) -> bool:
        """Return whether this node sends the engine nothing now."""
        return self.backoff_left_s(now) > 0

    def defers_weight_orders(self, now: float) -> bool:
        """Return whether weight orders to the engine wait for the end of its backoff."""
        return now < min(self.backoff_until, self._backoff_since + MAX_ORDER_BACKOFF_S)

    def learn_weights(self, model: str, version: int) -> None:
        """Record an observed weight version of a model; a lower version is ignored."""
        if version > self.weights.get(model, 0):
            self.weights[model] = version

    def note_sent(self, now: float) -> None:
        """Record a request sent to the engine; after a backoff it starts a trial interval."""
        if self._on_trial:
            self._trial_until = now + TRIAL_INTERVAL_S

    def note_answered(self, sent_at: float) -> None:
        """Record an answer to a request sent at `sent_at`; it may end the trial after a backoff."""
        if sent_at >= self.backoff_until:
            self._on_trial = False
            self._trial_until = -math.inf


@dataclass(slots=True)
class EngineConditions:
    """Conditions of the incarnations that reported anything or whose records were removed."""

    _conditions: dict[tuple[int, str], EngineCondition] = field(default_factory=dict)
    _expired_at: float = 0.0

    def __len__(self) -> int:
        return len(self._conditions)

    def of(self, engine: EngineAddress) -> EngineCondition:
        """Return the condition of an incarnation, or an empty one if it reported nothing."""
        return self._conditions.get(_key(engine)) or EngineCondition()

    def remember(self, engine: EngineAddress, condition: EngineCondition, now: float) -> None:
        """Store the condition of an incarnation that just reported or lost its record."""
        condition.last_reported_at = now
        self._conditions[_key(engine)] = condition
        if len(self._conditions) > MAX_ENTRIES:
            del self._conditions[
                min(self._conditions, key=lambda key: self._conditions[key].last_reported_at)
            ]

    def expire(self, in_records: Iterable[EngineCondition], now: float) -> None:
        """Drop conditions without a record whose last signal is older than RETENTION_S."""
        if now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        for condition in in_records:
            condition.last_reported_at = now
        for key, condition in list(self._conditions.items()):
            if now - condition.last_reported_at > RETENTION_S:
                del self._conditions[key]


def _key(engine: EngineAddress) -> tuple[int, str]:
    # Without reported start times, an id at another address is another incarnation.
    return engine.number, engine.address
