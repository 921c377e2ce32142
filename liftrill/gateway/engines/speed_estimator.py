"""Estimates engine speeds from this node's requests and the reports of its peers."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from liftrill import constants
from liftrill.gateway.engines.engine_speed import NO_WORK, Pace, WorkSample
from liftrill.gateway.engines.engine_table import EngineTable, EngineView
from liftrill.gateway.engines.service_speeds import ServiceSpeeds, SpeedChange, SpeedFigures

# Smaller samples depend more on the network to the engine than on its prefill speed.
MIN_SAMPLE_TOKENS = 2_000
# With fewer events the longest pause cannot be distinguished from the others.
MIN_EVENTS = 2
# Interval of recomputing the paces: a slow engine shows before callers time out, and the cost is
# small compared with that of serving requests.
UPDATE_INTERVAL_S = 0.5
# Shares of the pause target from which some streams are late, and from which all are: the work
# waiting at an engine is known to about a fifth.
SOME_LATE_SHARE = 0.5
ALL_LATE_SHARE = 1.2
# With more rows only those of uneven engines are sent: the rows fill a datagram.
MAX_UNFILTERED_ROWS = 32
MAX_ROWS = 96
CONSERVATIVE_PREFILL_S_PER_TOKEN = 1.0 / constants.PREFILL_TOKENS_PER_SECOND


@dataclass(frozen=True, slots=True)
class SpeedRow:
    """Recent observations of one engine by a node, or by the nodes of a zone.

    Attributes:
        engine: number of the engine.
        prefill: prefilled prompt tokens.
        answers: whole answers.
        pause_tokens: prompt tokens prefilled within the longest pause of a stream, or 0.
    """

    engine: int
    prefill: WorkSample = NO_WORK
    answers: WorkSample = NO_WORK
    pause_tokens: int = 0

    @property
    def seconds(self) -> float:
        """The observed work of the engine in seconds."""
        return self.prefill.seconds + self.answers.seconds


class SpeedEstimator:
    """Speed estimates of all engines, in seconds of their own work.

    Attributes:
        pause_targets_s: the shortest pause target that a route declares, by service.
    """

    def __init__(self, engines: EngineTable) -> None:
        self.pause_targets_s: dict[str, float] = {}
        self._engines = engines
        self._services: dict[str, ServiceSpeeds] = {}
        self._longest_pauses: dict[int, float] = {}
        self._changes: list[SpeedChange] = []

    # Estimates for decisions

    def prefill_s_per_token(self, view: EngineView) -> float:
        """Return the time in which an engine prefills one prompt token."""
        return (
            view.speed.prefill_s_per_token or self._service(view.record.service).prefill_s_per_token
        )

    def conservative_prefill_s_per_token(self, view: EngineView) -> float:
        """Return the same for decisions that must be in time: an unknown time counts as slow."""
        if view.speed.prefill_s_per_token:
            return view.speed.prefill_s_per_token
        service = self._service(view.record.service)
        return (
            service.prefill_s_per_token
            if service.has_prefill_estimate
            else CONSERVATIVE_PREFILL_S_PER_TOKEN
        )

    def service_prefill_s_per_token(self, service: str) -> float:
        """Return the median prefill time per token of a service's engines."""
        return self._service(service).prefill_s_per_token

    def has_prefill_estimate(self, service: str) -> bool:
        """Return whether the prefill speed of a service's engines was observed."""
        return self._service(service).has_prefill_estimate

    def predicts_pauses(self, service: str) -> bool:
        """Return whether a service declares a pause target and its pauses can be predicted."""
        return bool(self.pause_targets_s.get(service)) and self.has_prefill_estimate(service)

    def late_streams(self, view: EngineView, to_prefill: int, is_stream: bool) -> float:
        """Return how many streams a prompt is expected to make late by pauses at an engine.

        Counts the running streams that are not late anyway, and the prompt's own stream. Engines
        prefill prompts in chunks between the steps of streams, so that at most `pause_tokens` are
        prefilled between two events, however many tokens wait.
        """
        name = view.record.service
        service, target_s = self._service(name), self.pause_targets_s[name]
        prefill_s_per_token = view.speed.prefill_s_per_token or service.prefill_s_per_token
        waiting_tokens = view.waiting_tokens
        max_pause_tokens = service.pause_tokens
        pause_s = (
            service.event_s
            + min(waiting_tokens + to_prefill, max_pause_tokens) * prefill_s_per_token
        )
        if pause_s <= SOME_LATE_SHARE * target_s:
            return 0.0
        after = _late_share(pause_s, target_s)
        before_s = service.event_s + min(waiting_tokens, max_pause_tokens) * prefill_s_per_token
        before = _late_share(before_s, target_s)
        return view.requests * (after - before) + (before if is_stream else 0.0)

    # Observations of this node

    def record_prefill(self, engine_id: str, tokens: int, elapsed_s: float, now: float) -> None:
        """Record the time in which an engine prefilled a prompt and the tokens queued before it."""
        view = self._engines.get(engine_id)
        if view is None or tokens < MIN_SAMPLE_TOKENS:
            return
        if not self._is_representative(view, elapsed_s, now):
            return
        service = self._service(view.record.service)
        # Bounded by the default too: tokens queued before it may have been prefilled already.
        known_s = view.speed.prefill.current_s or service.prefill_s_per_token
        view.speed.prefill.record(tokens, elapsed_s, known_s, now)
        self._update_if_due(view.record.service, None, now)

    def record_stream(
        self, view: EngineView, events: int, elapsed_s: float, longest_pause_s: float, now: float
    ) -> None:
        """Record the events of a stream after its first one, and its longest pause."""
        # The pace excludes the longest pause, which shows prompts prefilled meanwhile.
        steady_s = elapsed_s - longest_pause_s
        if (
            events < MIN_EVENTS
            or steady_s <= 0.0
            or not self._is_representative(view, elapsed_s, now)
        ):
            return
        service = self._service(view.record.service)
        pace = view.speed.event
        pace.record(events - 1, steady_s, pace.current_s or service.event_s, now)
        if service.has_prefill_estimate and service.event_s:
            prefill_s = max(0.0, longest_pause_s - service.event_s)
            self._note_pause(view, prefill_s / self.prefill_s_per_token(view))
        self._update_if_due(view.record.service, None, now)

    def record_answer(self, view: EngineView, elapsed_s: float, requests: int, now: float) -> None:
        """Record the time of a whole answer and the number of requests at the engine with it."""
        if not self._is_representative(view, elapsed_s, now):
            return
        own_s = elapsed_s / max(1.0, requests / max(1, view.record.slots))
        pace = view.speed.answer
        known_s = pace.current_s or self._service(view.record.service).answer_s
        pace.record(1.0, own_s, known_s, now)
        self._update_if_due(view.record.service, None, now)

    # Reports between nodes

    def own_rows(self, now: float) -> list[SpeedRow]:
        """Return the recent observations of this node."""
        return self._rows(lambda pace: pace.own_work(now))

    def zone_rows(self, zone: str, now: float) -> list[SpeedRow]:
        """Return the recent observations of this node and the reporting nodes of its zone."""
        return self._rows(lambda pace: pace.zone_work(zone, now))

    def reset_longest_pauses(self) -> None:
        """Clear the longest pauses after they were reported."""
        self._longest_pauses.clear()

    def apply_report(self, node: str, zone: str, rows: Iterable[SpeedRow], now: float) -> None:
        """Replace the last report of a node, or of a zone if `node` is empty."""
        for row in rows:
            view = self._engines.by_number(row.engine)
            if view is None:
                continue
            speed = view.speed
            speed.prefill.apply_report(node, zone, row.prefill, now)
            speed.answer.apply_report(node, zone, row.answers, now)
            self._service(view.record.service).note_pause(row.pause_tokens)

    def _rows(self, work_of: Callable[[Pace], WorkSample]) -> list[SpeedRow]:
        found: list[tuple[EngineView, SpeedRow]] = []
        for view in self._engines:
            prefill, answers = work_of(view.speed.prefill), work_of(view.speed.answer)
            if prefill.is_significant or answers.is_significant:
                pause_tokens = int(self._longest_pauses.get(view.number, 0.0))
                found.append((view, SpeedRow(view.number, prefill, answers, pause_tokens)))
        if len(found) > MAX_UNFILTERED_ROWS:
            found = [
                (view, row)
                for view, row in found
                if self._service(view.record.service).is_uneven(view)
            ]
        rows = [row for _, row in found]
        return sorted(rows, key=lambda row: row.seconds, reverse=True)[:MAX_ROWS]

    # Periodic updates

    def refresh(self, now: float) -> list[SpeedChange]:
        """Update due estimates; return the engines that became slow or recovered since."""
        by_service = self._by_service()
        for service, views in by_service.items():
            for view in views:
                if view.is_loading_weights(now):
                    view.speed.disturbed_at = now
            self._update_if_due(service, views, now)
        for gone in self._services.keys() - by_service.keys():
            del self._services[gone]
        changes, self._changes = self._changes, []
        return changes

    def figures(self) -> list[SpeedFigures]:
        """Return the speeds of the engines of each service."""
        services = self._by_service().items()
        return [self._service(name).figures(name, views) for name, views in services]

    def _by_service(self) -> dict[str, list[EngineView]]:
        found: dict[str, list[EngineView]] = {}
        for view in self._engines:
            found.setdefault(view.record.service, []).append(view)
        return found

    def _update_if_due(self, name: str, views: list[EngineView] | None, now: float) -> None:
        service = self._service(name)
        if now - service.updated_at >= UPDATE_INTERVAL_S:
            views = self._engines.of_service(name) if views is None else views
            self._changes.extend(service.update_estimates(views, now))

    def _note_pause(self, view: EngineView, tokens: float) -> None:
        self._service(view.record.service).note_pause(tokens)
        longest = self._longest_pauses.get(view.number, 0.0)
        self._longest_pauses[view.number] = max(longest, tokens)

    def _is_representative(self, view: EngineView, elapsed_s: float, now: float) -> bool:
        """Return whether work of this duration until now is evidence of the engine's speed."""
        if view.is_loading_weights(now):
            view.speed.disturbed_at = now
        return elapsed_s > 0.0 and now - elapsed_s > view.speed.disturbed_at

    def _service(self, name: str) -> ServiceSpeeds:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = ServiceSpeeds()
        return service


def _late_share(pause_s: float, target_s: float) -> float:
    """Return the share of streams that are late after a pause."""
    share = (pause_s / target_s - SOME_LATE_SHARE) / (ALL_LATE_SHARE - SOME_LATE_SHARE)
    return min(max(share, 0.0), 1.0)
