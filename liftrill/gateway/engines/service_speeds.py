"""What holds for the engines of one service together: how fast they are, and how they compare."""

import math
from collections import deque
from dataclasses import dataclass, field

from liftrill import constants
from liftrill.gateway.engines.engine_speed import Pace, lower_median
from liftrill.gateway.engines.engine_table import EngineView

# Engines that differ less from the service's are taken for alike: so much the estimates of
# equal engines differ, and what is decided for engines that are alike must not waver.
UNEVEN_FACTOR = 1.25
# One that was found uneven is taken for alike again below this.
EVEN_FACTOR = 1.12
# Steps of the weights of homes in a doubling of the speed.
HOME_WEIGHT_STEPS = 2
# Streams whose pauses are remembered of a service, its peers' included (guess).
MAX_PAUSES = 128
# With fewer, nothing is known of the longest pause that prompts cause.
MIN_PAUSES = 8
# Pauses in which fewer tokens could be read show no prompt.
MIN_PAUSE_TOKENS = 2_000
# Share of these pauses that are shorter than the bound: the others may have stalled, or lost
# their memory to more urgent ones and been read anew (guess).
PAUSE_QUANTILE = 0.75
# After which a bound that was seen counts a third: pauses that are avoided aren't seen.
PAUSE_BOUND_DECAY_S = 120.0


@dataclass(frozen=True, slots=True)
class SpeedChange:
    """An engine that was found slow, or well again.

    Attributes:
        work: what it is slow at.
        slowness: how many times the time of the service's engines it takes.
        pace_s: seconds of a prompt token, or of a whole answer.
        own_work_s: for how long it worked for this node lately.
        sources: how many peers told of it.
    """

    view: EngineView
    work: str
    slowness: float
    pace_s: float
    own_work_s: float
    sources: int


@dataclass(frozen=True, slots=True)
class SpeedFigures:
    """How fast a service's engines are, for operators.

    Attributes:
        rates: prompt tokens a second of the slowest, the middle and the fastest engine.
        slow: how many engines are slow.
    """

    service: str
    rates: tuple[float, float, float]
    slow: int


@dataclass(slots=True)
class ServiceSpeeds:
    """The middle of a service's engines, to which each of them is compared.

    Attributes:
        read_s_per_token: seconds to read a prompt token.
        has_read_estimate: whether that was observed.
        event_s: seconds between two events of a stream, or 0 while not known.
        answer_s: seconds of a whole answer, or 0 while not known.
        pause_tokens: what is read at most within one pause, or infinity while not known.
        pauses: the prompt tokens that could be read within long pauses of streams lately.
    """

    read_s_per_token: float = 1.0 / constants.FIRST_READING_TOKENS_PER_S
    has_read_estimate: bool = False
    event_s: float = 0.0
    answer_s: float = 0.0
    pause_tokens: float = math.inf
    updated_at: float = -math.inf
    pauses: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_PAUSES))

    def update_estimates(self, views: list[EngineView], now: float) -> list[SpeedChange]:
        """Work out the paces of the engines anew, and return which were found to differ."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = now
        speeds = [view.speed for view in views]
        known_s = self.read_s_per_token if self.has_read_estimate else 0.0
        current_s = _update_paces([speed.reading for speed in speeds], known_s, now)
        if current_s:
            self.read_s_per_token, self.has_read_estimate = current_s, True
        self.event_s = _update_paces([speed.event for speed in speeds], self.event_s, now)
        self.answer_s = _update_paces([speed.answer for speed in speeds], self.answer_s, now)
        self._update_pause_bound(elapsed_s)
        return self._compare(views, now)

    def note_pause(self, tokens: float) -> None:
        """Note how many prompt tokens an engine could read within a pause of a stream."""
        if tokens >= MIN_PAUSE_TOKENS:
            self.pauses.append(tokens)

    def figures(self, service: str, views: list[EngineView]) -> SpeedFigures:
        """Return how fast the engines are."""
        paces = [view.speed.reading.current_s or self.read_s_per_token for view in views]
        slow = sum(max(v.speed.slowness, v.speed.answer_slowness) > 1.0 for v in views)
        rates = (1.0 / max(paces), 1.0 / self.read_s_per_token, 1.0 / min(paces))
        return SpeedFigures(service, rates, slow)

    def is_uneven(self, view: EngineView) -> bool:
        """Return whether an engine differs from the others, or did until a while ago."""
        speed = view.speed
        return (
            speed.slowness != 1.0
            or speed.answer_slowness != 1.0
            or _differs(speed.reading.long_term_s, self.read_s_per_token)
            or _differs(speed.answer.long_term_s, self.answer_s)
        )

    def _compare(self, views: list[EngineView], now: float) -> list[SpeedChange]:
        changes: list[SpeedChange] = []
        for view in views:
            speed = view.speed
            before, answer_before = speed.slowness, speed.answer_slowness
            speed.slowness = _slowness(speed.reading, self.read_s_per_token, before)
            speed.answer_slowness = _slowness(speed.answer, self.answer_s, answer_before)
            speed.read_s_per_token = (
                self.read_s_per_token * speed.slowness if self.has_read_estimate else 0.0
            )
            speed.home_weight = _home_weight(speed.slowness)
            if (before > 1.0) != (speed.slowness > 1.0):
                changes.append(_change(view, "reading", speed.slowness, speed.reading, now))
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
        kept_tokens = self.pause_tokens * math.exp(-elapsed_s / PAUSE_BOUND_DECAY_S)
        self.pause_tokens = max(observed_tokens, kept_tokens)


def _update_paces(paces: list[Pace], known_s: float, now: float) -> float:
    """Work out some paces, and return the middle one of those that are known."""
    for pace in paces:
        pace.update_estimates(known_s, now)
    found = [pace.current_s for pace in paces if pace.current_s]
    return lower_median(found) if found else known_s


def _slowness(pace: Pace, median_s: float, before: float) -> float:
    """Return how many times as long as the middle one an engine takes, 1 where alike."""
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
