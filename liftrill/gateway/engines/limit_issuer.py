"""Issues the permits of engines that name limits, as the one node that does for each, sans-IO.

While answers to permitted requests name the limit, permits come at its rate. Each answer that
does not name it multiplies the rate, and after a few in a row the limit is over: an engine that
recovers is not met by everything that waited, and one that names its limit in some of its
answers only is taken at its number.
"""

import random
from dataclasses import dataclass

from liftrill.coordination.permits import PermitAnswer, PermitVerdict, RatePacer
from liftrill.gateway.delivery_events import EngineAddress

# Permits are issued at this rate at least: an engine that takes nothing, or next to nothing, is
# asked now and then whether that still holds, since no answer would tell it otherwise.
LEAST_RATE_PER_S = 0.25
# By what each answer without the limit multiplies the rate, and after how many the limit ends: an
# engine with the least rate is in full use again after 4 + 1 + 0.25 s.
RAISED_BY = 4.0
ANSWERS_TO_END = 3
# When a node asks again that took another one for the issuer than that one does itself.
DISAGREED_PAUSE_S = 0.25
RUNS = 1 << 62


@dataclass(slots=True)
class _Issued:
    """What is issued for one engine.

    Attributes:
        unnamed: answers in a row that did not name the limit.
        named_at: when an answer named it last, on this node's clock.
    """

    pacer: RatePacer
    unnamed: int
    named_at: float


class LimitIssuer:
    """The permits that one node issues."""

    def __init__(self) -> None:
        self._run = random.randrange(1, RUNS)
        self._issued: dict[EngineAddress, _Issued] = {}

    def answer(
        self,
        engine: EngineAddress,
        named_per_s: float | None,
        share: float,
        number: int,
        patience_s: float,
        now: float,
    ) -> PermitAnswer:
        """Answer a question; `named_per_s` is None where the engine has no limit any more."""
        if named_per_s is None:
            verdict = PermitVerdict(True, 0.0)
        elif share <= 0.0:
            verdict = PermitVerdict(False, DISAGREED_PAUSE_S)
        else:
            verdict = self._reserve(engine, named_per_s, share, patience_s, now)
        return PermitAnswer(number, verdict.granted, verdict.wait_s, self._run, now)

    def take_receipt(
        self, engine: EngineAddress, run: int, issued_at: float, names_limit: bool, now: float
    ) -> bool:
        """Take in what the answer to a permitted request said; return whether the limit ends.

        An answer without the limit counts if its permit was issued after the limit was last
        named: a late answer says nothing of now.
        """
        issued = self._issued.get(engine)
        if issued is None:
            return False
        if names_limit:
            issued.unnamed = 0
            issued.named_at = now
        elif run == self._run and issued_at > issued.named_at:
            issued.unnamed += 1
        return issued.unnamed >= ANSWERS_TO_END

    def stop(self, engine: EngineAddress) -> None:
        """Issue nothing more for an engine."""
        self._issued.pop(engine, None)

    def _reserve(
        self, engine: EngineAddress, named_per_s: float, share: float, patience_s: float, now: float
    ) -> PermitVerdict:
        issued = self._issued.get(engine)
        unnamed = issued.unnamed if issued is not None else 0
        rate_per_s = max(named_per_s, LEAST_RATE_PER_S) * share * RAISED_BY**unnamed
        if issued is None:
            issued = _Issued(RatePacer.start(rate_per_s, now), 0, now)
            self._issued[engine] = issued
        elif issued.pacer.rate_per_s != rate_per_s:
            issued.pacer.change_rate(rate_per_s, now)
        return issued.pacer.reserve(patience_s, now)
