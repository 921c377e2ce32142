"""What holds for the engines of one service together: how fast they are, and how they compare."""

import math
from collections import deque
from dataclasses import dataclass, field

from liftrill import constants
from liftrill.gateway.engines.engine_table import EngineView
from liftrill.gateway.engines.service_model import Pace, middle

# Engines that differ less from the service's are taken for alike: so much the estimates of
# equal engines differ, and what is decided for engines that are alike must not waver.
UNEVEN_FACTOR = 1.25
# One that was found uneven is taken for alike again below this.
EVEN_FACTOR = 1.12
# Steps of the weights of homes in a doubling of the speed.
HOME_STEPS = 2
# Streams whose pauses are remembered of a service, its peers' included (guess).
PAUSES_KEPT = 128
# With fewer, nothing is known of the longest pause that prompts cause.
LEAST_PAUSES = 8
# Pauses in which fewer tokens could be read show no prompt.
LEAST_PAUSE_TOKENS = 2_000
# Share of these pauses that are shorter than the bound: the others may have stalled, or lost
# their memory to more urgent ones and been read anew (guess).
PAUSE_QUANTILE = 0.75
# After which a bound that was seen counts a third: pauses that are avoided aren't seen.
PAUSE_BOUND_FADING_S = 120.0


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
        reading_s: seconds to read a prompt token.
        knows_reading: whether that was observed.
        event_s: seconds between two events of a stream, or 0 while not known.
        answer_s: seconds of a whole answer, or 0 while not known.
        pause_tokens: what is read at most within one pause, or infinity while not known.
        pauses: the prompt tokens that could be read within long pauses of streams lately.
    """

    reading_s: float = 1.0 / constants.INITIAL_PREFILL_TOKENS_PER_S
    knows_reading: bool = False
    event_s: float = 0.0
    answer_s: float = 0.0
    pause_tokens: float = math.inf
    settled_at: float = -math.inf
    pauses: deque[float] = field(default_factory=lambda: deque(maxlen=PAUSES_KEPT))

    def settle(self, views: list[EngineView], now: float) -> list[SpeedChange]:
        """Work out the paces of the engines anew, and return which were found to differ."""
        elapsed_s = max(0.0, now - self.settled_at)
        self.settled_at = now
        models = [view.model for view in views]
        known_s = self.reading_s if self.knows_reading else 0.0
        found_s = _settled([model.reading for model in models], known_s, now)
        if found_s:
            self.reading_s, self.knows_reading = found_s, True
        self.event_s = _settled([model.event for model in models], self.event_s, now)
        self.answer_s = _settled([model.answer for model in models], self.answer_s, now)
        self._settle_pauses(elapsed_s)
        return self._compare(views, now)

    def note_pause(self, tokens: float) -> None:
        """Note how many prompt tokens an engine could read within a pause of a stream."""
        if tokens >= LEAST_PAUSE_TOKENS:
            self.pauses.append(tokens)

    def figures(self, service: str, views: list[EngineView]) -> SpeedFigures:
        """Return how fast the engines are."""
        paces = [view.model.reading.found_s or self.reading_s for view in views]
        slow = sum(max(v.model.slowness, v.model.answer_slowness) > 1.0 for v in views)
        rates = (1.0 / max(paces), 1.0 / self.reading_s, 1.0 / min(paces))
        return SpeedFigures(service, rates, slow)

    def is_uneven(self, view: EngineView) -> bool:
        """Return whether an engine differs from the others, or did until a while ago."""
        model = view.model
        return (
            model.slowness != 1.0
            or model.answer_slowness != 1.0
            or _differs(model.reading.lasting_s, self.reading_s)
            or _differs(model.answer.lasting_s, self.answer_s)
        )

    def _compare(self, views: list[EngineView], now: float) -> list[SpeedChange]:
        changes: list[SpeedChange] = []
        for view in views:
            model = view.model
            before, answer_before = model.slowness, model.answer_slowness
            model.slowness = _slowness(model.reading, self.reading_s, before)
            model.answer_slowness = _slowness(model.answer, self.answer_s, answer_before)
            model.reading_s = self.reading_s * model.slowness if self.knows_reading else 0.0
            model.home_weight = _home_weight(model.slowness)
            if (before > 1.0) != (model.slowness > 1.0):
                changes.append(_change(view, "reading", model.slowness, model.reading, now))
            if (answer_before > 1.0) != (model.answer_slowness > 1.0):
                changes.append(_change(view, "answer", model.answer_slowness, model.answer, now))
        return changes

    def _settle_pauses(self, elapsed_s: float) -> None:
        if len(self.pauses) < LEAST_PAUSES:
            return
        ordered = sorted(self.pauses)
        seen_tokens = ordered[int(PAUSE_QUANTILE * (len(ordered) - 1))]
        if math.isinf(self.pause_tokens):
            self.pause_tokens = seen_tokens
            return
        kept_tokens = self.pause_tokens * math.exp(-elapsed_s / PAUSE_BOUND_FADING_S)
        self.pause_tokens = max(seen_tokens, kept_tokens)


def _settled(paces: list[Pace], known_s: float, now: float) -> float:
    """Work out some paces, and return the middle one of those that are known."""
    for pace in paces:
        pace.settle(known_s, now)
    found = [pace.found_s for pace in paces if pace.found_s]
    return middle(found) if found else known_s


def _slowness(pace: Pace, middle_s: float, before: float) -> float:
    """Return how many times as long as the middle one an engine takes, 1 where alike."""
    if not pace.found_s or not middle_s:
        return 1.0
    found = pace.found_s / middle_s
    factor = UNEVEN_FACTOR if before == 1.0 else EVEN_FACTOR
    return found if found > factor or found < 1.0 / factor else 1.0


def _home_weight(slowness: float) -> float:
    """Return a weight in coarse steps, so that nodes agree on it though their estimates differ."""
    return float(2.0 ** (round(-HOME_STEPS * math.log2(slowness)) / HOME_STEPS))


def _differs(pace_s: float, middle_s: float) -> bool:
    if not pace_s or not middle_s:
        return False
    return not 1.0 / EVEN_FACTOR <= pace_s / middle_s <= EVEN_FACTOR


def _change(view: EngineView, work: str, slowness: float, pace: Pace, now: float) -> SpeedChange:
    own_s = pace.own_work(now).seconds
    return SpeedChange(view, work, slowness, pace.found_s, own_s, pace.sources())
