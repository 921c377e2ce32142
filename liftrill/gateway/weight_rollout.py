"""Plans which engines are ordered to load new weights, and when, sans-IO.

Few engines load at once, so that the others serve on with the older version. The first
load of a version waits a while: versions named in quick succession are then reached by
one load. How many load at once follows from the time that is left.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

from liftrill import constants
from liftrill.gateway.engines.engine_table import EngineView
from liftrill.gateway.weight_targets import NamedVersion, WeightTargets


@dataclass(frozen=True, slots=True)
class RolloutParameters:
    """Times in seconds.

    Attributes:
        join_delay: wait for further versions before the first load.
        load_estimate: how long an engine is expected to be out of use for a load.
        finish_margin: by which all loads should be over before the grace ends.
        least_at_once: loads at once where time is no concern, in a small fleet.
        share_at_once: the same as a share of the engines, in a larger one.
        drain_time: how long before its order an engine gets no new requests, so that what
            waits there has begun when the order comes.
        longest_drain: how long the order waits for that at the most.
        run_drain: how long the order waits for running requests to end: their streams would
            pause for as long as the load takes.
        check_after: when an engine is first asked whether it is done.
        check_interval: between further questions.
        give_up_after: after which an order without effect is given again.
    """

    join_delay: float = 0.0
    load_estimate: float = constants.WEIGHT_LOAD_ESTIMATE_SECONDS
    finish_margin: float = 2.0
    least_at_once: int = 2
    share_at_once: float = constants.WEIGHT_LOADS_SHARE
    drain_time: float = 0.4
    longest_drain: float = 1.6
    run_drain: float = constants.WEIGHT_RUN_DRAIN_SECONDS
    check_after: float = 0.5
    check_interval: float = 0.25
    give_up_after: float = 3.0


class LoadState(Enum):
    """Where a load stands."""

    DRAINING = auto()
    ORDERED = auto()
    ACCEPTED = auto()
    UNANSWERED = auto()


@dataclass(slots=True)
class Load:
    """One engine that is to load a version.

    Attributes:
        since: when it was given its present state.
        next_at: when it is to be ordered, or asked next.
        number: the incarnation that is to load: one that starts later knows of no order.
    """

    engine_id: str
    model: str
    version: int
    since: float
    next_at: float
    number: int
    state: LoadState = LoadState.DRAINING


@dataclass(frozen=True, slots=True)
class AnnounceLoad:
    """Tell all nodes that an engine is about to load: they send it nothing new."""

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
class AskReport:
    """Ask an engine whether it has loaded."""

    engine_id: str


@dataclass(frozen=True, slots=True)
class AnnounceDone:
    """Tell all nodes that an engine has loaded."""

    engine_id: str
    model: str
    version: int


RolloutInstruction = AnnounceDone | AnnounceLoad | GiveOrder | AskReport


@dataclass(slots=True)
class WeightRollout:
    """The loads under way, from the side of the one node that gives orders."""

    targets: WeightTargets
    parameters: RolloutParameters = field(default_factory=RolloutParameters)
    loads: dict[str, Load] = field(default_factory=dict)
    _not_before: dict[str, float] = field(default_factory=dict)

    def begin_term(self) -> None:
        """Forget what an earlier term had under way."""
        self.loads.clear()
        self._not_before.clear()

    @property
    def is_idle(self) -> bool:
        """Whether no load is under way."""
        return not self.loads

    def is_wanted(self, engines: Iterable[EngineView]) -> bool:
        """Return whether some engine is behind its target."""
        return any(self._is_behind(view, m) for view in engines for m in self.targets.models())

    def due(self, engines: Iterable[EngineView], now: float) -> list[RolloutInstruction]:
        """Return the orders and questions that are due now."""
        known = {view.engine_id: view for view in engines}
        instructions: list[RolloutInstruction] = self._settle(known)
        instructions.extend(self._due_steps(known, now))
        for model in self.targets.models():
            instructions.extend(self._due_loads(list(known.values()), model, now))
        return instructions

    def order_accepted(self, engine_id: str, now: float) -> None:
        """Note that an engine took an order."""
        self._set_state(engine_id, LoadState.ACCEPTED, now)

    def order_unanswered(self, engine_id: str, now: float) -> None:
        """Note that it is not known whether an engine took an order."""
        self._set_state(engine_id, LoadState.UNANSWERED, now)

    def order_refused(self, engine_id: str, now: float, pause: float) -> None:
        """Note that an engine did not take an order; it is given again after a pause."""
        self.loads.pop(engine_id, None)
        self._not_before[engine_id] = now + pause

    def report_heard(self, engine_id: str, busy: bool, now: float) -> None:
        """Take in an engine's report that did not show the version yet."""
        load = self.loads.get(engine_id)
        if load is None:
            return
        load.next_at = now + self.parameters.check_interval
        waited_out = now - load.since >= self.parameters.give_up_after
        if not busy and (waited_out or load.state is LoadState.UNANSWERED):
            del self.loads[engine_id]

    def _set_state(self, engine_id: str, state: LoadState, now: float) -> None:
        load = self.loads.get(engine_id)
        if load is not None:
            load.state = state
            load.next_at = now + self.parameters.check_after

    def _settle(self, known: dict[str, EngineView]) -> list[RolloutInstruction]:
        done: list[RolloutInstruction] = []
        for engine_id, load in list(self.loads.items()):
            view = known.get(engine_id)
            # One that has said that it leaves since is not ordered: it wants no new work, and
            # the room for its load is another engine's.
            if view is None or view.number != load.number or view.leaving:
                del self.loads[engine_id]
            elif view.weight_version(load.model) >= load.version:
                del self.loads[engine_id]
                done.append(AnnounceDone(engine_id, load.model, load.version))
        return done

    def _due_steps(self, known: dict[str, EngineView], now: float) -> list[RolloutInstruction]:
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
                instructions.append(AskReport(load.engine_id))
        return instructions

    def _is_drained(self, load: Load, view: EngineView, now: float) -> bool:
        """Return whether nothing waits there any more, or it was waited for long enough."""
        waited = now - load.since
        if view.waiting_tokens > 0:
            return waited >= self.parameters.longest_drain
        return view.requests <= 0 or waited >= self.parameters.run_drain

    def _order(self, load: Load, now: float) -> GiveOrder:
        # What was named since the announcement is reached by the same load.
        load.version = self.targets.newest(load.model)
        load.state = LoadState.ORDERED
        load.since = now
        return GiveOrder(load.engine_id, load.model, load.version)

    def _due_loads(
        self, engines: list[EngineView], model: str, now: float
    ) -> list[RolloutInstruction]:
        running = [view for view in engines if view.weight_version(model) and not view.leaving]
        behind = [view for view in running if self._is_behind(view, model)]
        waiting = [v for v in behind if self._may_order(v, now)]
        if not waiting:
            return []
        versions = [view.weight_version(model) for view in behind]
        pending = self.targets.open_versions(model, min(versions))
        if not pending or now < pending[0].named_at + self.parameters.join_delay:
            return []
        room = self._at_once(len(running), versions, pending, now) - len(self.loads)
        version = self.targets.newest(model)
        chosen = sorted(waiting, key=lambda v: (v.weight_version(model), v.engine_id))
        chosen = chosen[: max(0, room)]
        return [self._announce(view, model, version, now) for view in chosen]

    def _may_order(self, view: EngineView, now: float) -> bool:
        if view.engine_id in self.loads or view.condition.defers_weight_orders(now):
            return False
        return now >= self._not_before.get(view.engine_id, 0.0)

    def _at_once(
        self, engines: int, versions: list[int], pending: list[NamedVersion], now: float
    ) -> int:
        """Return how many engines load at once, so that each version is reached in time."""
        most = max(
            self.parameters.least_at_once, math.floor(self.parameters.share_at_once * engines)
        )
        for named in pending:
            deadline = named.heard_at + self.targets.grace_seconds - self.parameters.finish_margin
            rounds = max(1.0, (deadline - now) / self.parameters.load_estimate)
            behind = sum(version < named.version for version in versions)
            most = max(most, math.ceil(behind / rounds))
        return most

    def _announce(self, view: EngineView, model: str, version: int, now: float) -> AnnounceLoad:
        order_at = now + self.parameters.drain_time
        self.loads[view.engine_id] = Load(
            view.engine_id, model, version, now, order_at, view.number
        )
        return AnnounceLoad(view.engine_id, model, version)

    def _is_behind(self, view: EngineView, model: str) -> bool:
        version = view.weight_version(model)
        return 0 < version < self.targets.newest(model) and not view.leaving
