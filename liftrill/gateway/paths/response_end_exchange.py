"""Asks peers when responses of an engine ended there, and answers their questions.

A node knows only of the responses that it received itself. So that one of them was the last of a
leaving engine is known only if no other node had a response that ended with it.
"""

import asyncio
import itertools
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from liftrill import clock
from liftrill.coordination.membership_messages import Member
from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_end_check import EndsElsewhere, ResponseEnd
from liftrill.gateway.paths.reach_codec import (
    ResponseEndAnswer,
    ResponseEndMessage,
    ResponseEndQuestion,
)

# In a fleet of up to so many nodes, all peers are asked; in a larger one, those that reported
# requests at the engine.
MAX_PEERS_ASKED = 12
# How long answers are waited for: of any peer, and of one that reported requests at the engine.
END_ANSWERS_TIMEOUT_S = 0.13
NEEDED_ANSWERS_TIMEOUT_S = 0.4
# A question that was not answered is sent again, as datagrams may be lost.
ASK_AGAIN_S = 0.05
END_ANSWER_CHECK_S = 0.005
# The turns of the event loop before an answer, in which ends that arrived are read, and the pause
# in each.
TURNS_BEFORE_ANSWER = 5
TURN_S = 0.002
NONCES = 2**32


class ResponseEndPeers(ABC):
    """The other nodes, as far as this exchange needs them."""

    @abstractmethod
    def members(self) -> list[Member]:
        """Return the other nodes that are not known to have ended."""

    @abstractmethod
    def had_requests(self, member: Member, engine: EngineAddress) -> bool:
        """Return whether a node, or its zone, reported requests at an engine lately."""

    @abstractmethod
    def send(self, node: str, content: ResponseEndMessage) -> None:
        """Send a message to one node."""


class _Inquiry:
    """The questions of one inquiry, and what was answered.

    Attributes:
        asked: the nodes without an answer.
        found: whether a response ended at the same time at one of them.
    """

    def __init__(self, engine: EngineAddress, end: ResponseEnd, asked: set[str]) -> None:
        self.asked = asked
        self.found = False
        self._engine = engine
        self._end = end
        self._sent_at: dict[int, float] = {}

    def question(self, nonce: int, now: float) -> ResponseEndQuestion:
        """Return the next question."""
        self._sent_at[nonce] = now
        return ResponseEndQuestion(self._engine.number, nonce)

    def record(self, node: str, answer: ResponseEndAnswer, now: float) -> None:
        """Record an answer, if it is one to this inquiry.

        The answer left between the question and its arrival: the time of an end is not known more
        exactly.
        """
        sent_at = self._sent_at.get(answer.nonce)
        if sent_at is None or node not in self.asked:
            return
        self.asked.discard(node)
        left_at = min(now, sent_at + answer.held_s)
        middle, tolerance_s = (left_at + now) / 2, (now - left_at) / 2
        for age_s, delay_s in answer.ends:
            other = ResponseEnd(middle - age_s, delay_s)
            self.found = self.found or self._end.may_be_same(other, tolerance_s)


class ResponseEndExchange:
    """Exchanges with peers when responses of an engine ended with their connections.

    Attributes:
        ends: returns the ends of responses of an engine here.
    """

    def __init__(self, peers: ResponseEndPeers) -> None:
        self.ends: Callable[[int], Sequence[ResponseEnd]] = lambda number: ()
        self._peers = peers
        self._nonces = itertools.count()
        self._inquiries: set[_Inquiry] = set()
        self._answers: set[asyncio.Task[None]] = set()

    async def ended_elsewhere(self, engine: EngineAddress, end: ResponseEnd) -> EndsElsewhere:
        """Find out whether responses of an engine ended at peers at the same time as one here."""
        members = self._peers.members()
        needed = {m.node_id for m in members if self._peers.had_requests(m, engine)}
        is_small = len(members) <= MAX_PEERS_ASKED
        inquiry = _Inquiry(engine, end, {m.node_id for m in members} if is_small else needed)
        needed &= inquiry.asked
        self._inquiries.add(inquiry)
        try:
            await self._wait_for_answers(inquiry, needed)
        finally:
            self._inquiries.discard(inquiry)
        if inquiry.found:
            return EndsElsewhere.SOME
        return EndsElsewhere.UNKNOWN if needed & inquiry.asked else EndsElsewhere.NONE

    async def _wait_for_answers(self, inquiry: _Inquiry, needed: set[str]) -> None:
        began_at = clock.now_s()
        ask_at = began_at
        while inquiry.asked and not inquiry.found:
            now = clock.now_s()
            is_needed = bool(needed & inquiry.asked)
            timeout_s = NEEDED_ANSWERS_TIMEOUT_S if is_needed else END_ANSWERS_TIMEOUT_S
            if now - began_at >= timeout_s:
                return
            if now >= ask_at:
                ask_at = now + ASK_AGAIN_S
                question = inquiry.question(next(self._nonces) % NONCES, now)
                for node in inquiry.asked:
                    self._peers.send(node, question)
            await asyncio.sleep(END_ANSWER_CHECK_S)

    def receive(self, sender: str, content: ResponseEndMessage) -> None:
        """Handle a message of a peer."""
        if isinstance(content, ResponseEndAnswer):
            for inquiry in self._inquiries:
                inquiry.record(sender, content, clock.now_s())
            return
        task = asyncio.ensure_future(self._answer(sender, content))
        self._answers.add(task)
        task.add_done_callback(self._answers.discard)

    async def _answer(self, sender: str, question: ResponseEndQuestion) -> None:
        asked_at = clock.now_s()
        for _ in range(TURNS_BEFORE_ANSWER):
            await asyncio.sleep(TURN_S)
        now = clock.now_s()
        ends = tuple((now - end.at, end.delay_s) for end in self.ends(question.engine))
        answer = ResponseEndAnswer(question.engine, question.nonce, now - asked_at, ends)
        self._peers.send(sender, answer)
