"""What one node knows of how fast engines work, from its own requests and its peers' words."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from liftrill import constants
from liftrill.gateway.engines.engine_speed import NO_WORK, Pace, WorkSample
from liftrill.gateway.engines.engine_table import EngineTable, EngineView
from liftrill.gateway.engines.service_speeds import ServiceSpeeds, SpeedChange, SpeedFigures

# Samples of less than this say more of the way to an engine than of its reading.
MIN_SAMPLE_TOKENS = 2_000
# Of fewer events one pause can't be told from the others.
MIN_EVENTS = 2
# How often paces are worked out anew: a slow engine is felt before callers leave, and what it
# costs is small beside the requests.
UPDATE_INTERVAL_S = 0.5
# From which share of the pause target on some streams are late, and from which all are: what
# waits at an engine is known to about a fifth (guess).
SOME_LATE_SHARE = 0.5
ALL_LATE_SHARE = 1.2
# Of more engines only those are told of that differ from the others: they fill a datagram.
MAX_UNFILTERED_ROWS = 32
MAX_ROWS = 96
CONSERVATIVE_READ_S_PER_TOKEN = 1.0 / constants.PREFILL_TOKENS_PER_SECOND


@dataclass(frozen=True, slots=True)
class SpeedRow:
    """What a node, or the nodes of a zone, observed of one engine lately.

    Attributes:
        engine: its number.
        reading: of prompt tokens.
        answers: whole ones.
        pause_tokens: prompt tokens read within the longest pause of a stream, or 0.
    """

    engine: int
    reading: WorkSample = NO_WORK
    answers: WorkSample = NO_WORK
    pause_tokens: int = 0

    @property
    def seconds(self) -> float:
        """For how long the engine worked."""
        return self.reading.seconds + self.answers.seconds


class SpeedEstimator:
    """How fast engines are, in seconds of their own work.

    Attributes:
        pause_targets_s: the tightest pause that a route of a service declares.
    """

    def __init__(self, engines: EngineTable) -> None:
        self.pause_targets_s: dict[str, float] = {}
        self._engines = engines
        self._services: dict[str, ServiceSpeeds] = {}
        self._longest_pauses: dict[int, float] = {}
        self._changes: list[SpeedChange] = []

    # What decisions ask

    def read_s_per_token(self, view: EngineView) -> float:
        """Return the seconds in which an engine reads one prompt token."""
        return view.speed.read_s_per_token or self._service(view.record.service).read_s_per_token

    def conservative_read_s_per_token(self, view: EngineView) -> float:
        """Return the same, for what must not come too late: what is not known counts as slow."""
        if view.speed.read_s_per_token:
            return view.speed.read_s_per_token
        service = self._service(view.record.service)
        return (
            service.read_s_per_token if service.has_read_estimate else CONSERVATIVE_READ_S_PER_TOKEN
        )

    def service_read_s_per_token(self, service: str) -> float:
        """Return the same of the service's engines, in the middle."""
        return self._service(service).read_s_per_token

    def has_read_estimate(self, service: str) -> bool:
        """Return whether anything was observed of how fast a service's engines read."""
        return self._service(service).has_read_estimate

    def predicts_pauses(self, service: str) -> bool:
        """Return whether the pauses of a service's streams are to be kept short, and can be."""
        return bool(self.pause_targets_s.get(service)) and self.has_read_estimate(service)

    def late_streams(self, view: EngineView, to_read: int, is_stream: bool) -> float:
        """Return how many streams a prompt is expected to make late by pauses at an engine.

        Those that run there, beyond the ones that are late without it, and its own one. Engines
        read prompts in pieces between the steps of streams: no more than so many tokens fall
        between two events, however many wait.
        """
        name = view.record.service
        service, target_s = self._service(name), self.pause_targets_s[name]
        read_s_per_token = view.speed.read_s_per_token or service.read_s_per_token
        waiting_tokens = view.waiting_tokens
        max_pause_tokens = service.pause_tokens
        pause_s = (
            service.event_s + min(waiting_tokens + to_read, max_pause_tokens) * read_s_per_token
        )
        if pause_s <= SOME_LATE_SHARE * target_s:
            return 0.0
        after = _late_share(pause_s, target_s)
        before_s = service.event_s + min(waiting_tokens, max_pause_tokens) * read_s_per_token
        before = _late_share(before_s, target_s)
        return view.requests * (after - before) + (before if is_stream else 0.0)

    # What this node observes

    def record_read(self, engine_id: str, tokens: int, elapsed_s: float, now: float) -> None:
        """Note how long some tokens, own and waiting ones, took to be read."""
        view = self._engines.get(engine_id)
        if view is None or tokens < MIN_SAMPLE_TOKENS:
            return
        if not self._is_representative(view, elapsed_s, now):
            return
        service = self._service(view.record.service)
        # Also bounded by the first belief: what waited ahead may have been read meanwhile.
        known_s = view.speed.reading.current_s or service.read_s_per_token
        view.speed.reading.record(tokens, elapsed_s, known_s, now)
        self._update_if_due(view.record.service, None, now)

    def record_stream(
        self, view: EngineView, events: int, elapsed_s: float, longest_pause_s: float, now: float
    ) -> None:
        """Note the events of a stream after its first one, and its longest pause."""
        # The longest pause is left out of the pace: it shows what was read meanwhile.
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
        if service.has_read_estimate and service.event_s:
            read_s = max(0.0, longest_pause_s - service.event_s)
            self._note_pause(view, read_s / self.read_s_per_token(view))
        self._update_if_due(view.record.service, None, now)

    def record_answer(self, view: EngineView, elapsed_s: float, requests: int, now: float) -> None:
        """Note how long a whole answer took, where so many requests were there with it."""
        if not self._is_representative(view, elapsed_s, now):
            return
        own_s = elapsed_s / max(1.0, requests / max(1, view.record.slots))
        pace = view.speed.answer
        known_s = pace.current_s or self._service(view.record.service).answer_s
        pace.record(1.0, own_s, known_s, now)
        self._update_if_due(view.record.service, None, now)

    # What nodes tell each other

    def own_rows(self, now: float) -> list[SpeedRow]:
        """Return what this node observed lately."""
        return self._rows(lambda pace: pace.own_work(now))

    def zone_rows(self, zone: str, now: float) -> list[SpeedRow]:
        """Return what this node and the heard nodes of its zone observed lately."""
        return self._rows(lambda pace: pace.zone_work(zone, now))

    def reset_longest_pauses(self) -> None:
        """Begin anew with the pauses to tell of."""
        self._longest_pauses.clear()

    def apply_report(self, node: str, zone: str, rows: Iterable[SpeedRow], now: float) -> None:
        """Replace what a node told of some engines, or a zone where the node is empty."""
        for row in rows:
            view = self._engines.by_number(row.engine)
            if view is None:
                continue
            speed = view.speed
            speed.reading.apply_report(node, zone, row.reading, now)
            speed.answer.apply_report(node, zone, row.answers, now)
            self._service(view.record.service).note_pause(row.pause_tokens)

    def _rows(self, work_of: Callable[[Pace], WorkSample]) -> list[SpeedRow]:
        found: list[tuple[EngineView, SpeedRow]] = []
        for view in self._engines:
            reading, answers = work_of(view.speed.reading), work_of(view.speed.answer)
            if reading.is_significant or answers.is_significant:
                pause_tokens = int(self._longest_pauses.get(view.number, 0.0))
                found.append((view, SpeedRow(view.number, reading, answers, pause_tokens)))
        if len(found) > MAX_UNFILTERED_ROWS:
            found = [
                (view, row)
                for view, row in found
                if self._service(view.record.service).is_uneven(view)
            ]
        rows = [row for _, row in found]
        return sorted(rows, key=lambda row: row.seconds, reverse=True)[:MAX_ROWS]

    # Working out

    def refresh(self, now: float) -> list[SpeedChange]:
        """Let time pass; return which engines were found slow, or well again, since."""
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
        """Return how fast the engines of each service are."""
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
        """Return whether what ran for some time until now shows how fast an engine is."""
        if view.is_loading_weights(now):
            view.speed.disturbed_at = now
        return elapsed_s > 0.0 and now - elapsed_s > view.speed.disturbed_at

    def _service(self, name: str) -> ServiceSpeeds:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = ServiceSpeeds()
        return service


def _late_share(pause_s: float, target_s: float) -> float:
    """Return the share of streams with a pause that are late."""
    share = (pause_s / target_s - SOME_LATE_SHARE) / (ALL_LATE_SHARE - SOME_LATE_SHARE)
    return min(max(share, 0.0), 1.0)
