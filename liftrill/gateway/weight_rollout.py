"""Plans which engines are ordered to load new weights, and when, sans-IO.

Few engines load at the same time, so that the others continue to serve the older version. The
first load of a version may be delayed, so that one load reaches several versions published in
quick succession. The number of concurrent loads follows from the remaining time.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

from liftrill import constants
from liftrill.gateway.engines.engine_table import EngineView
from liftrill.gateway.weight_targets import PublishedVersion, WeightTargets


@dataclass(frozen=True, slots=True)
class RolloutParameters:
    """Times in seconds.

    Attributes:
        batching_delay: wait for further versions before the first load.
        load_estimate: how long an engine is expected to be out of use for a load.
        finish_margin: how long before the end of the grace period all loads should be done.
        min_concurrent_loads: concurrent loads in a small fleet when there is enough time.
        concurrent_load_share: the same for a larger fleet, as a share of its engines.
        queue_drain: how long before its order an engine gets no new requests, so that queued
            requests have begun when the order is sent.
        max_queue_drain: how long the order waits for queued requests at most.
        max_run_drain: how long the order waits for running requests to end: their streams would
            pause during the load.
        first_check_delay: time from the order to the first report query.
        check_interval: time between further report queries.
        order_timeout: time after which an order without effect is sent again.
    """

    batching_delay: float = 0.0
    load_estimate: float = constants.WEIGHT_LOAD_ESTIMATE_SECONDS
    finish_margin: float = 2.0
    min_concurrent_loads: int = 2
    concurrent_load_share: float = constants.CONCURRENT_WEIGHT_LOADS_SHARE
    queue_drain: float = 0.4
    max_queue_drain: float = 1.6
    max_run_drain: float = constants.WEIGHT_RUN_DRAIN_SECONDS
    first_check_delay: float = 0.5
    check_interval: float = 0.25
    order_timeout: float = 3.0


class LoadState(Enum):
    """The state of one engine's load."""

    DRAINING = auto()
    ORDERED = auto()
    ACCEPTED = auto()
    UNANSWERED = auto()


@dataclass(slots=True)
class Load:
    """One engine's load of a version.

    Attributes:
        since: when the load was announced or, later, ordered.
        next_at: when the order or the next report query is due.
        incarnation_number: the incarnation that is to load; a later one knows nothing of the order.
    """

    engine_id: str
    model: str
    version: int
    since: float
    next_at: float
    incarnation_number: int
    state: LoadState = LoadState.DRAINING


@dataclass(frozen=True, slots=True)
class AnnounceLoad:
    """Announce to all nodes that an engine is about to load, so that they send it no requests."""

    engine_id: str
    model: str
    version: int


@dataclass(frozen=True, slots=True)
class GiveOrder:
    """Order an engine to load a version."""

    engine_id: str
    model: str
    version: int


@dataclass(frozen=True, slots=True)
class PollReport:
    """Query an engine's report of what it has loaded."""

    engine_id: str


@dataclass(frozen=True, slots=True)
class AnnounceDone:
    """Announce to all nodes that an engine has loaded a version."""

    engine_id: str
    model: str
    version: int


RolloutInstruction = AnnounceDone | AnnounceLoad | GiveOrder | PollReport


@dataclass(slots=True)
class WeightRollout:
    """The state of all loads under way, as the leader sees them."""

    targets: WeightTargets
    parameters: RolloutParameters = field(default_factory=RolloutParameters)
    loads: dict[str, Load] = field(default_factory=dict)
    _retry_at: dict[str, float] = field(default_factory=dict)

    def begin_term(self) -> None:
        """Discard the loads of an earlier term."""
        self.loads.clear()
        self._retry_at.clear()

    @property
    def is_idle(self) -> bool:
        """Whether no load is under way."""
        return not self.loads

    def has_outdated_engine(self, engines: Iterable[EngineView]) -> bool:
        """Return whether any engine has an older version than the newest published one."""
        return any(self._is_behind(view, m) for view in engines for m in self.targets.models())

    def due(self, engines: Iterable[EngineView], now: float) -> list[RolloutInstruction]:
        """Return the announcements, orders and report queries that are due now."""
        known = {view.engine_id: view for view in engines}
        instructions: list[RolloutInstruction] = self._finish_loads(known)
        instructions.extend(self._due_load_steps(known, now))
        for model in self.targets.models():
            instructions.extend(self._due_new_loads(list(known.values()), model, now))
        return instructions

    def order_accepted(self, engine_id: str, now: float) -> None:
        """Record that an engine accepted an order."""
        self._set_state(engine_id, LoadState.ACCEPTED, now)

    def order_unanswered(self, engine_id: str, now: float) -> None:
        """Record that an engine did not answer an order, so that its effect is unknown."""
        self._set_state(engine_id, LoadState.UNANSWERED, now)

    def order_refused(self, engine_id: str, now: float, pause: float) -> None:
        """Record that an engine refused an order, which is retried after a delay."""
        self.loads.pop(engine_id, None)
        self._retry_at[engine_id] = now + pause

    def record_report(self, engine_id: str, busy: bool, now: float) -> None:
        """Process an engine's report that does not show the ordered version yet."""
        load = self.loads.get(engine_id)
        if load is None:
            return
        load.next_at = now + self.parameters.check_interval
        is_timed_out = now - load.since >= self.parameters.order_timeout
        if not busy and (is_timed_out or load.state is LoadState.UNANSWERED):
            del self.loads[engine_id]

    def _set_state(self, engine_id: str, state: LoadState, now: float) -> None:
        load = self.loads.get(engine_id)
        if load is not None:
            load.state = state
            load.next_at = now + self.parameters.first_check_delay

    def _finish_loads(self, known: dict[str, EngineView]) -> list[RolloutInstruction]:
        done: list[RolloutInstruction] = []
        for engine_id, load in list(self.loads.items()):
            view = known.get(engine_id)
            # An engine that has begun to leave is not ordered: it accepts no new work, and
            # another engine may load in its place.
            if view is None or view.number != load.incarnation_number or view.leaving:
                del self.loads[engine_id]
            elif view.weight_version(load.model) >= load.version:
                del self.loads[engine_id]
                done.append(AnnounceDone(engine_id, load.model, load.version))
        return done

    def _due_load_steps(self, known: dict[str, EngineView], now: float) -> list[RolloutInstruction]:
        instructions: list[RolloutInstruction] = []
        for load in self.loads.values():
            if now < load.next_at or load.state is LoadState.ORDERED:
                continue
            if known[load.engine_id].condition.defers_weight_orders(now):
                continue
            if load.state is LoadState.DRAINING:
                if self._is_drained(load, known[load.engine_id], now):
                    instructions.append(self._order(load, now))
            else:
                load.next_at = now + self.parameters.check_interval
                instructions.append(PollReport(load.engine_id))
        return instructions

    def _is_drained(self, load: Load, view: EngineView, now: float) -> bool:
        """Return whether an engine has drained, or the wait for it has reached its limit."""
        waited = now - load.since
        if view.waiting_tokens > 0:
            return waited >= self.parameters.max_queue_drain
        return view.requests <= 0 or waited >= self.parameters.max_run_drain

    def _order(self, load: Load, now: float) -> GiveOrder:
        # The load also reaches versions published since it was announced.
        load.version = self.targets.newest(load.model)
        load.state = LoadState.ORDERED
        load.since = now
        return GiveOrder(load.engine_id, load.model, load.version)

    def _due_new_loads(
        self, engines: list[EngineView], model: str, now: float
    ) -> list[RolloutInstruction]:
        running = [view for view in engines if view.weight_version(model) and not view.leaving]
        behind = [view for view in running if self._is_behind(view, model)]
        waiting = [v for v in behind if self._may_order(v, now)]
        if not waiting:
            return []
        versions = [view.weight_version(model) for view in behind]
        pending = self.targets.newer_versions(model, min(versions))
        if not pending or now < pending[0].published_at + self.parameters.batching_delay:
            return []
        free_slots = self._concurrent_loads(len(running), versions, pending, now) - len(self.loads)
        version = self.targets.newest(model)
        chosen = sorted(waiting, key=lambda v: (v.weight_version(model), v.engine_id))
        chosen = chosen[: max(0, free_slots)]
        return [self._announce(view, model, version, now) for view in chosen]

    def _may_order(self, view: EngineView, now: float) -> bool:
        if view.engine_id in self.loads or view.condition.defers_weight_orders(now):
            return False
        return now >= self._retry_at.get(view.engine_id, 0.0)

    def _concurrent_loads(
        self, engines: int, versions: list[int], pending: list[PublishedVersion], now: float
    ) -> int:
        """Return how many engines may load at once for each version to be reached in time."""
        limit = max(
            self.parameters.min_concurrent_loads,
            math.floor(self.parameters.concurrent_load_share * engines),
        )
        for published in pending:
            deadline = (
                published.learned_at + self.targets.grace_seconds - self.parameters.finish_margin
            )
            rounds = max(1.0, (deadline - now) / self.parameters.load_estimate)
            behind = sum(version < published.version for version in versions)
            limit = max(limit, math.ceil(behind / rounds))
        return limit

    def _announce(self, view: EngineView, model: str, version: int, now: float) -> AnnounceLoad:
        order_at = now + self.parameters.queue_drain
        self.loads[view.engine_id] = Load(
            view.engine_id, model, version, now, order_at, view.number
        )
        return AnnounceLoad(view.engine_id, model, version)

    def _is_behind(self, view: EngineView, model: str) -> bool:
        version = view.weight_version(model)
        return 0 < version < self.targets.newest(model) and not view.leaving
