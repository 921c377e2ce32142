"""Asks peers which engines they reach, and answers their questions."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Sequence

from liftrill import clock
from liftrill.coordination.membership_messages import Member
from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.paths.isolation import IsolatedNodes
from liftrill.gateway.paths.proxy_table import PEERS_ASKED, ProxyTable
from liftrill.gateway.paths.reach_codec import (
    NodeReach,
    ReachAnswer,
    ReachMessage,
    ReachQuestion,
    questions,
)

# How long the end of an engine waits for the first answer of a peer, and after one that denies that
# it reaches the engine for others: a peer may be cut off as well, and another may be frozen. The
# request that was lost is sent on after `MAX_WAIT_S` of engine_end_check, so that an end found
# later cannot count against it yet.
FIRST_ANSWER_TIMEOUT_S = 0.08
OTHER_ANSWERS_TIMEOUT_S = 0.05
ANSWER_CHECK_S = 0.01


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
