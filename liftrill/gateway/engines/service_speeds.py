"""Speed estimates of the engines of one service, and their comparison with each other."""

import math
from collections import deque
from dataclasses import dataclass, field

from liftrill import constants
from liftrill.gateway.engines.engine_speed import Pace, lower_median
from liftrill.gateway.engines.engine_table import EngineView

# Engines that differ less from the service's median count as equal: estimates of equal engines
# differ by this much, and decisions among equal engines must be stable.
UNEVEN_FACTOR = 1.25
# An engine found uneven counts as equal again below this factor.
EVEN_FACTOR = 1.12
# Steps of the home weight per doubling of the speed.
HOME_WEIGHT_STEPS = 2
# Pauses remembered for each service, including those that peers report.
MAX_PAUSES = 128
# Minimum number of pauses from which the longest pause caused by prompts is estimated.
MIN_PAUSES = 8
# Shorter pauses, in prompt tokens prefilled meanwhile, are not caused by a prompt.
MIN_PAUSE_TOKENS = 2_000
# Quantile of the pauses that is the bound: longer pauses may come from stalls, or from streams
# that lost their memory to more urgent ones and were prefilled again.
PAUSE_QUANTILE = 0.75
# Time constant of the decay of the bound: pauses that placement avoids are not observed.
PAUSE_BOUND_DECAY_S = 120.0


@dataclass(frozen=True, slots=True)
class SpeedChange:
    """An engine that became slow or recovered.

    Attributes:
        work: kind of work that is affected.
        slowness: time relative to the service's engines.
        pace_s: seconds per prompt token, or per whole answer.
        own_work_s: recent work of the engine for this node, in seconds.
        sources: number of peers that reported on the engine.
    """

    view: EngineView
    work: str
    slowness: float
    pace_s: float
    own_work_s: float
    sources: int

    def log_fields(self) -> dict[str, object]:
        """Return the fields of the log line."""
        return {
            "engine": self.view.engine_id,
            "service": self.view.record.service,
            "work": self.work,
            "slowness": round(self.slowness, 2),
            "pace_us": round(1e6 * self.pace_s, 2),
            "own_work_s": round(self.own_work_s, 3),
            "sources": self.sources,
        }


@dataclass(frozen=True, slots=True)
class SpeedFigures:
    """Speeds of a service's engines, for operators.

    Attributes:
        rates: prompt tokens a second of the slowest, the median and the fastest engine.
        slow: number of slow engines.
    """

    service: str
    rates: tuple[float, float, float]
    slow: int


@dataclass(slots=True)
class ServiceSpeeds:
    """Median speeds of a service's engines, with which each engine is compared.

    Attributes:
        prefill_s_per_token: prefill time of a prompt token.
        has_prefill_estimate: whether `prefill_s_per_token` is based on observations.
        event_s: time between two events of a stream, or 0 while unknown.
        answer_s: time of a whole answer, or 0 while unknown.
        pause_tokens: most prompt tokens prefilled within one pause, or infinity while unknown.
        pauses: prompt tokens that could be prefilled within recent long pauses of streams.
    """

    prefill_s_per_token: float = 1.0 / constants.INITIAL_PREFILL_TOKENS_PER_S
    has_prefill_estimate: bool = False
    event_s: float = 0.0
    answer_s: float = 0.0
    pause_tokens: float = math.inf
    updated_at: float = -math.inf
    pauses: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_PAUSES))

    def update_estimates(self, views: list[EngineView], now: float) -> list[SpeedChange]:
        """Recompute the paces of all engines; return the engines that became slow or recovered."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = now
        speeds = [view.speed for view in views]
        known_s = self.prefill_s_per_token if self.has_prefill_estimate else 0.0
        current_s = _update_paces([speed.prefill for speed in speeds], known_s, now)
        if current_s:
            self.prefill_s_per_token, self.has_prefill_estimate = current_s, True
        self.event_s = _update_paces([speed.event for speed in speeds], self.event_s, now)
        self.answer_s = _update_paces([speed.answer for speed in speeds], self.answer_s, now)
        self._update_pause_bound(elapsed_s)
        return self._compare(views, now)

    def note_pause(self, tokens: float) -> None:
        """Record how many prompt tokens an engine could prefill within a pause of a stream."""
        if tokens >= MIN_PAUSE_TOKENS:
            self.pauses.append(tokens)

    def figures(self, service: str, views: list[EngineView]) -> SpeedFigures:
        """Return the speeds of the engines for operators."""
        paces = [view.speed.prefill.current_s or self.prefill_s_per_token for view in views]
        slow = sum(max(v.speed.slowness, v.speed.answer_slowness) > 1.0 for v in views)
        rates = (1.0 / max(paces), 1.0 / self.prefill_s_per_token, 1.0 / min(paces))
        return SpeedFigures(service, rates, slow)

    def is_uneven(self, view: EngineView) -> bool:
        """Return whether an engine differs from the median now or in the long term."""
        speed = view.speed
        return (
            speed.slowness != 1.0
            or speed.answer_slowness != 1.0
            or _differs(speed.prefill.long_term_s, self.prefill_s_per_token)
            or _differs(speed.answer.long_term_s, self.answer_s)
        )

    def _compare(self, views: list[EngineView], now: float) -> list[SpeedChange]:
        changes: list[SpeedChange] = []
        for view in views:
            speed = view.speed
            before, answer_before = speed.slowness, speed.answer_slowness
            speed.slowness = _slowness(speed.prefill, self.prefill_s_per_token, before)
            speed.answer_slowness = _slowness(speed.answer, self.answer_s, answer_before)
            speed.prefill_s_per_token = (
                self.prefill_s_per_token * speed.slowness if self.has_prefill_estimate else 0.0
            )
            speed.home_weight = _home_weight(speed.slowness)
            if (before > 1.0) != (speed.slowness > 1.0):
                changes.append(_change(view, "reading", speed.slowness, speed.prefill, now))
            if (answer_before > 1.0) != (speed.answer_slowness > 1.0):
                changes.append(_change(view, "answer", speed.answer_slowness, speed.answer, now))
        return changes

    def _update_pause_bound(self, elapsed_s: float) -> None:
        if len(self.pauses) < MIN_PAUSES:
            return
        ordered = sorted(self.pauses)
        observed_tokens = ordered[int(PAUSE_QUANTILE * (len(ordered) - 1))]
        if math.isinf(self.pause_tokens):
            self.pause_tokens = observed_tokens
            return
        decayed_tokens = self.pause_tokens * math.exp(-elapsed_s / PAUSE_BOUND_DECAY_S)
        self.pause_tokens = max(observed_tokens, decayed_tokens)


def _update_paces(paces: list[Pace], known_s: float, now: float) -> float:
    """Recompute paces and return the median of the known ones, or `known_s`."""
    for pace in paces:
        pace.update_estimates(known_s, now)
    found = [pace.current_s for pace in paces if pace.current_s]
    return lower_median(found) if found else known_s


def _slowness(pace: Pace, median_s: float, before: float) -> float:
    """Return an engine's time relative to the median, or 1 if it counts as equal."""
    if not pace.current_s or not median_s:
        return 1.0
    found = pace.current_s / median_s
    factor = UNEVEN_FACTOR if before == 1.0 else EVEN_FACTOR
    return found if found > factor or found < 1.0 / factor else 1.0


def _home_weight(slowness: float) -> float:
    """Return a weight in coarse steps, so that nodes agree on it though their estimates differ."""
    return float(2.0 ** (round(-HOME_WEIGHT_STEPS * math.log2(slowness)) / HOME_WEIGHT_STEPS))


def _differs(pace_s: float, median_s: float) -> bool:
    if not pace_s or not median_s:
        return False
    return not 1.0 / EVEN_FACTOR <= pace_s / median_s <= EVEN_FACTOR


def _change(view: EngineView, work: str, slowness: float, pace: Pace, now: float) -> SpeedChange:
    own_s = pace.own_work(now).seconds
    return SpeedChange(view, work, slowness, pace.current_s, own_s, pace.sources())
