"""Asks peers about engines, and answers their questions.

Peers tell which engines they reach, and when responses of one ended there. A node knows only of
the responses that it received itself. So that one of them was the last of a leaving engine is known
only if no other node had a response that ended with it.
"""

import asyncio
import itertools
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Sequence

from liftrill import clock
from liftrill.coordination.membership_messages import Member
from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_end_check import EndsElsewhere, ResponseEnd
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.paths.isolation import IsolatedNodes
from liftrill.gateway.paths.proxy_table import PEERS_ASKED, ProxyTable
from liftrill.gateway.paths.reach_codec import (
    NodeReach,
    ReachAnswer,
    ReachMessage,
    ReachQuestion,
    ResponseEndAnswer,
    ResponseEndMessage,
    ResponseEndQuestion,
    questions,
)

# How long the end of an engine waits for the first answer of a peer, and after one that denies that
# it reaches the engine for others: a peer may be cut off as well, and another may be frozen. The
# request that was lost is sent on after `MAX_WAIT_S` of engine_end_check, so that an end found
# later cannot count against it yet.
FIRST_ANSWER_TIMEOUT_S = 0.08
OTHER_ANSWERS_TIMEOUT_S = 0.05
ANSWER_CHECK_S = 0.01

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


class ReachPeers(ABC):
    """The other nodes, as far as this exchange needs them."""

    @abstractmethod
    def others(self) -> list[Member]:
        """Return the other nodes that are alive."""

    @abstractmethod
    def send(self, node: str, content: ReachMessage) -> None:
        """Send a message to one node, or to all if its id is empty."""


class ReachExchange:
    """Exchanges with peers which engines each of them reaches.

    Attributes:
        check: returns whether this node reaches an engine; the flag demands a new probe.
        on_path_found: called when an engine became usable by a proxy.
    """

    def __init__(
        self,
        engines: EngineTable,
        proxies: ProxyTable,
        isolated: IsolatedNodes,
        peers: ReachPeers,
        zone: str,
        check: Callable[[EngineAddress, bool], Awaitable[bool]],
    ) -> None:
        self.check = check
        self.on_path_found: Callable[[EngineAddress], None] = lambda engine: None
        self._engines = engines
        self._proxies = proxies
        self._isolated = isolated
        self._peers = peers
        self._zone = zone
        self._tasks: set[asyncio.Task[None]] = set()

    def ask(self, unreachable: Sequence[EngineAddress]) -> None:
        """Ask peers about the engines that this node cannot reach, as far as that is due."""
        self._proxies.update(unreachable, clock.now_s())
        self._ask_due()

    def _ask_due(self) -> None:
        now = clock.now_s()
        due = self._proxies.take_due(now)
        if not due.engines:
            return
        asked = self._proxies.peers_to_ask(due.engines, self._peers.others(), self._zone, now)
        numbers = [engine.number for engine in due.engines]
        for question in questions(numbers, due.needs_probe):
            for peer in asked:
                self._peers.send(peer.node_id, question)

    def report_isolation(self, isolated: bool) -> bool:
        """Report to peers whether this node is isolated; return whether that changed."""
        was_isolated = self._isolated.is_isolated
        report = self._isolated.update(isolated, clock.now_s())
        if report is not None:
            self._peers.send("", NodeReach(report))
        return self._isolated.is_isolated != was_isolated

    async def is_reached_by_peers(self, engine: EngineAddress) -> bool:
        """Ask peers whether they reach an engine now; return whether one of them does."""
        asked_at = clock.now_s()
        until = asked_at + FIRST_ANSWER_TIMEOUT_S
        enough = min(PEERS_ASKED, len(self._peers.others()))
        self._proxies.ask_again(engine, asked_at)
        self._ask_due()
        while enough and (now := clock.now_s()) < until:
            reached, denied = self._proxies.answers_since(engine, asked_at)
            if reached or denied >= enough:
                return reached > 0
            if denied:
                until = min(until, now + OTHER_ANSWERS_TIMEOUT_S)
            await asyncio.sleep(ANSWER_CHECK_S)
        return False

    def receive(self, sender: str, content: ReachQuestion | ReachAnswer | NodeReach) -> None:
        """Handle a message of a peer."""
        if isinstance(content, ReachQuestion):
            task = asyncio.ensure_future(self._answer(sender, content))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif isinstance(content, ReachAnswer):
            self._record(sender, content)
        else:
            self._isolated.record_report(sender, content.isolated, clock.now_s())

    async def _answer(self, sender: str, question: ReachQuestion) -> None:
        views = [self._engines.by_number(number) for number in question.engines]
        known = [view.identity for view in views if view is not None]
        results = await asyncio.gather(
            *(self.check(engine, question.needs_probe) for engine in known)
        )
        reached = {engine.number for engine, ok in zip(known, results, strict=True) if ok}
        not_reached = tuple(number for number in question.engines if number not in reached)
        self._peers.send(sender, ReachAnswer(tuple(reached), not_reached))

    def _record(self, sender: str, answer: ReachAnswer) -> None:
        now = clock.now_s()
        for numbers, reached in ((answer.reached, True), (answer.not_reached, False)):
            for number in numbers:
                view = self._engines.by_number(number)
                if view is None:
                    continue
                if self._proxies.record_answer(sender, view.identity, reached, now):
                    self.on_path_found(view.identity)


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
