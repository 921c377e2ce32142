"""Applies changes of the store to this node's view of the configuration, engines and weights."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from liftrill import clock
from liftrill.coordination.range_store import StoredItem
from liftrill.coordination.store_mirror import MirrorChange
from liftrill.coordination.store_position import era_of
from liftrill.gateway.configuration_view import ConfigurationView
from liftrill.gateway.decision_log import DecisionLog, rounded_age
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineTable, EngineView
from liftrill.gateway.record_decoder import RecordDecoder, RecordError, StoreRecord
from liftrill.gateway.records import EngineRecord, GatewayConfiguration, RouteRule, WeightTarget
from liftrill.gateway.route_table import WeightedSplit
from liftrill.gateway.store_outage import AnswerHistory
from liftrill.gateway.weight_targets import WeightTargets

# Number of keys whose refused records are logged: more than the engines that start in a minute.
MAX_LOGGED_REFUSALS = 256


def _count_nothing() -> None:
    """Ignore a refused record."""


def _ignore_ended_incarnation(view: EngineView) -> None:
    """Ignore the end of an incarnation."""


@dataclass(slots=True)
class ClusterState:
    """The configuration, the engines and the weight targets, as known to one node.

    Attributes:
        configuration_revision: the store's revision of the configuration in force.
        answers: when the store answered, which tells whether records of live engines can have
            expired.
        store_read: whether the store was read once, so that later changes are known to be new.
        count_refused: called for each record that cannot be decoded.
        incarnation_ended: called with the previous incarnation of an engine that restarted under
            its id.
    """

    decoder: RecordDecoder
    view: ConfigurationView
    engines: EngineTable
    targets: WeightTargets
    selector: EngineSelector
    split: WeightedSplit
    log: DecisionLog
    answers: AnswerHistory
    configuration_revision: int = 0
    store_read: bool = False
    count_refused: Callable[[], None] = _count_nothing
    incarnation_ended: Callable[[EngineView], None] = _ignore_ended_incarnation
    _refused_keys: dict[str, str] = field(default_factory=dict)

    def apply(self, change: MirrorChange, known_until: float) -> None:
        """Apply a change of the mirror, which was complete until `known_until`."""
        unknown = self._unknown_engines(change) if change.restored else []
        written = self._without_ended(change.written) if change.restored else change.written
        for item in written:
            self.apply_item(item, known_until)
        for engine_id, revision in unknown:
            # The engine had ended before the restore, which brought its old record back: it counts
            # as live only once it writes its next record.
            self.engines.withdraw(engine_id, revision)
            self.log.state_changed("engine_withheld", engine=engine_id, revision=revision)
        self.store_read = True
        removed = [e for key in change.removed if (e := self.decoder.engine_of(key)) is not None]
        now = clock.now_s()
        if change.restored or (change.gap and self.answers.may_have_expired(known_until, now)):
            self.engines.mark_vanished(removed, now)
            self._log_missing("record_missing", removed, "may have expired", known_until)
            return
        for engine_id in removed:
            self.engines.remove(engine_id)
        self._log_missing("engine_gone", removed, "record removed", known_until)

    def _log_missing(
        self, kind: str, engine_ids: list[str], reason: str, known_until: float
    ) -> None:
        for engine_id in engine_ids:
            self.log.state_changed(
                kind, engine=engine_id, reason=reason, news_age_s=_max_change_age(known_until)
            )

    def is_older_configuration(self, item: StoredItem) -> bool:
        """Return whether a restored store holds an older configuration than the one in force.

        The store then holds none that is newer, so the one in force is still the newest.
        """
        if era_of(item.revision) == era_of(self.configuration_revision):
            return False
        record = self._decoded(item)
        return isinstance(record, GatewayConfiguration) and record.version < self.view.version

    def _decoded(self, item: StoredItem) -> StoreRecord | None:
        """Return the record of an item, or None; `apply_item` logs a record that is refused."""
        try:
            return self.decoder.decode(item)
        except RecordError:
            return None

    def _without_ended(self, items: tuple[StoredItem, ...]) -> list[StoredItem]:
        """Return items without the records of incarnations known to have ended."""
        return [item for item in items if not self._is_of_ended_incarnation(item)]

    def _is_of_ended_incarnation(self, item: StoredItem) -> bool:
        engine_id = self.decoder.engine_of(item.key)
        view = self.engines.get(engine_id) if engine_id is not None else None
        if view is None:
            return False
        record = self._decoded(item)
        return isinstance(record, EngineRecord) and record.born_unix_ms < view.record.born_unix_ms

    def _unknown_engines(self, change: MirrorChange) -> list[tuple[str, int]]:
        """Return the engines, with revisions, in a restored store that this node does not know."""
        found = [(self.decoder.engine_of(item.key), item.revision) for item in change.written]
        return [(e, at) for e, at in found if e is not None and self.engines.get(e) is None]

    def apply_item(self, item: StoredItem, known_until: float) -> None:
        """Apply one item, which may have been written at any time since `known_until`."""
        try:
            record = self.decoder.decode(item)
        except RecordError as error:
            self._refuse(item, str(error))
            return
        self._refused_keys.pop(item.key, None)
        if isinstance(record, GatewayConfiguration):
            self._apply_configuration(record, item.revision, known_until)
        elif isinstance(record, EngineRecord):
            self._apply_engine(record, known_until)
        elif isinstance(record, WeightTarget):
            self._apply_target(record, known_until)

    def _refuse(self, item: StoredItem, why: str) -> None:
        """Count and log a record that cannot be decoded, and withdraw its engine.

        The record that it replaced is not used either.
        """
        self.count_refused()
        engine_id = self.decoder.engine_of(item.key)
        withdrawn = engine_id is not None and self.engines.withdraw(engine_id, item.revision)
        if self._refused_keys.get(item.key) == why:
            return
        # A faulty writer may write many such records: each key is logged once per reason.
        if len(self._refused_keys) < MAX_LOGGED_REFUSALS:
            self._refused_keys[item.key] = why
            self.log.state_changed(
                "record_refused",
                key=item.key,
                revision=item.revision,
                why=why,
                engine_withdrawn=withdrawn,
            )

    def expire(self, now: float) -> None:
        """Remove engines whose records stayed missing for too long after an outage."""
        for engine_id in self.engines.expire_vanished(now):
            self.log.state_changed(
                "engine_gone", engine=engine_id, reason="no record after an outage"
            )

    def _apply_configuration(
        self, configuration: GatewayConfiguration, revision: int, known_until: float
    ) -> None:
        previous = self.view.version
        is_newer = self.view.adopt(configuration)
        if configuration.version == self.view.version:
            # A restored store may hold the same version at another position.
            self.configuration_revision = revision
        if not is_newer:
            return
        self.selector.parts.prefix_stores = configuration.prefix_stores
        self.selector.parts.services.clear()
        self.selector.parts.services.update(configuration.services)
        self.engines.services = frozenset(configuration.services)
        self.selector.speeds.pause_targets_s = min_pause_targets(configuration.routes)
        self.split.reset()
        self.log.version = configuration.version
        self.log.state_changed(
            "configuration",
            version=configuration.version,
            previous=previous,
            revision=revision,
            routes=len(configuration.routes),
            news_age_s=_max_change_age(known_until),
        )

    def _apply_engine(self, record: EngineRecord, known_until: float) -> None:
        known = self.engines.get(record.engine_id)
        was_leaving = known.leaving if known else False
        was_withheld = known.is_withheld if known else False
        view = self.engines.update(record)
        if view is None:
            return
        if known is not None and view is not known and not was_leaving:
            self.incarnation_ended(known)
        is_new = view is not known
        if is_new or (view.leaving, view.is_withheld) != (was_leaving, was_withheld):
            self.log.state_changed(
                "engine",
                engine=record.engine_id,
                born_unix_ms=record.born_unix_ms,
                withdrawn=view.is_withheld,
                service=record.service,
                software_version=record.software_version,
                address=record.address,
                leaving=view.leaving,
                weights=dict(view.weights),
                revision=record.revision,
                news_age_s=_max_change_age(known_until),
            )

    def _apply_target(self, target: WeightTarget, known_until: float) -> None:
        # The time of receipt is not the publication time: after a gap in updates it would extend
        # the use of replaced weights by the length of the gap.
        now = clock.now_s()
        published_at = self.targets.earliest_publication(known_until, now)
        if self.targets.add(target, published_at, age_known=self.store_read, now=now):
            self.log.state_changed(
                "weights_named",
                model=target.model,
                version=target.version,
                revision=target.revision,
                age_known=self.store_read,
                news_age_s=_max_change_age(known_until),
            )


def min_pause_targets(routes: Iterable[RouteRule]) -> dict[str, float]:
    """Return the smallest pause target of the routes to each service."""
    found: dict[str, float] = {}
    for route in routes:
        if not route.pause_target_s:
            continue
        for share in route.backends:
            known = found.get(share.service, route.pause_target_s)
            found[share.service] = min(known, route.pause_target_s)
    return found


def _max_change_age(known_until: float) -> float | None:
    """Return the upper bound of a change's age, for the log."""
    return rounded_age(clock.now_s() - known_until)
