"""Sends origins of streams to the nodes that hold them, and asks these for origins."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field

from liftrill import clock
from liftrill.coordination.membership_messages import Member
from liftrill.gateway.streams.origin_codec import (
    OriginAnswer,
    OriginMessage,
    OriginQuestion,
    OriginReport,
    reports,
)
from liftrill.gateway.streams.origin_ports import OriginStorage
from liftrill.gateway.streams.stream_origins import (
    OriginEntry,
    OriginTable,
    ServiceVersion,
    holders,
    nodes_to_ask,
    store_writers,
)
from liftrill.gateway.streams.version_evidence import KnownVersions

# A question or its answer may be lost: it is asked again, and given up once the nodes asked have
# most probably ended.
ASK_AGAIN_S = 0.05
ASK_TIMEOUT_S = 0.15


class OriginPeers(ABC):
    """The other nodes, as far as this exchange needs them."""

    @property
    @abstractmethod
    def own(self) -> Member:
        """The member that is this node."""

    @abstractmethod
    def others(self) -> list[Member]:
        """Return the other nodes that are alive."""

    @abstractmethod
    def send(self, node: str, content: OriginMessage) -> None:
        """Send a message to one node."""


NOTHING_KNOWN = KnownVersions(frozenset(), lacks_history=True)


@dataclass(slots=True)
class Answers:
    """The answers to a question for the origin of a stream.

    Attributes:
        asked: ids of the nodes that were asked.
        waiting: how many requests wait for the answers.
        answered: ids of the nodes that answered.
        origin: None if no node that answered knows it.
        known: what the nodes that answered know of versions.
    """

    asked: set[str]
    waiting: int = 0
    answered: set[str] = field(default_factory=set)
    origin: ServiceVersion | None = None
    known: KnownVersions = NOTHING_KNOWN
    complete: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def suffice(self) -> bool:
        """Whether one node at most has not answered: the one that began the stream, if it ended."""
        missing = self.asked - self.answered
        return not missing or (len(missing) == 1 and bool(self.answered))

    def add(self, sender: str, answer: OriginAnswer) -> None:
        """Add the answer of a node that was asked."""
        if sender not in self.asked:
            return
        self.answered.add(sender)
        known = KnownVersions(frozenset(answer.served), answer.lacks_history)
        self.known = self.known.merged(known)
        self.origin = self.origin or answer.origin
        if self.origin is not None or self.answered == self.asked:
            self.complete.set()


class OriginExchange:
    """Exchanges origins of streams with the nodes that hold them.

    Each origin is held by two nodes found by hashing its key, besides the node at which the stream
    began.
    """

    def __init__(
        self,
        table: OriginTable,
        peers: OriginPeers,
        storage: OriginStorage,
        known_versions: Callable[[Iterable[str]], KnownVersions],
    ) -> None:
        self._table = table
        self._peers = peers
        self._storage = storage
        self._store_writers: list[Member] = []
        self._known_versions = known_versions
        self._questions: dict[int, Answers] = {}

    def refresh(self) -> None:
        """Choose the nodes that write origins to the store."""
        self._store_writers = store_writers([*self._peers.others(), self._peers.own])

    def send(self, entries: Sequence[OriginEntry]) -> None:
        """Send origins to the nodes that hold them, and to those that write them to the store."""
        self._send_to_holders(entries)
        writers = self._store_writers or [self._peers.own]
        by_writer: dict[str, list[OriginEntry]] = {}
        for entry in entries:
            writer = writers[entry.key % len(writers)]
            by_writer.setdefault(writer.node_id, []).append(entry)
        self._storage.save(by_writer.pop(self._peers.own.node_id, ()))
        for node, written in by_writer.items():
            for report in reports(written, to_store=True):
                self._peers.send(node, report)

    def _send_to_holders(self, entries: Sequence[OriginEntry]) -> None:
        others = self._peers.others()
        by_node: dict[str, list[OriginEntry]] = {}
        for entry in entries:
            for holder in holders(entry.key, others):
                by_node.setdefault(holder.node_id, []).append(entry)
        for node, held in by_node.items():
            for report in reports(held):
                self._peers.send(node, report)

    async def ask(self, key: int, services: tuple[str, ...], of_all: bool = False) -> Answers:
        """Ask the nodes that hold the origin of a stream, and return their answers.

        Where one version serves, the answer of one of them is enough, unless `of_all`.
        """
        answers = self._questions.get(key)
        if answers is None:
            asked = nodes_to_ask(key, self._peers.others())
            answers = Answers({node.node_id for node in asked})
            self._questions[key] = answers
        answers.waiting += 1
        try:
            await self._ask_until_complete(OriginQuestion(key, services), answers, of_all)
        finally:
            answers.waiting -= 1
            if not answers.waiting:
                self._questions.pop(key, None)
        return answers

    async def _ask_until_complete(
        self, question: OriginQuestion, answers: Answers, of_all: bool
    ) -> None:
        if not answers.asked:
            return
        for timeout_s in (ASK_AGAIN_S, ASK_TIMEOUT_S - ASK_AGAIN_S):
            for node in answers.asked - answers.answered:
                self._peers.send(node, question)
            with suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await answers.complete.wait()
            if answers.complete.is_set():
                return
            # A node that was asked may have ended. Where one version serves, its answer can wait.
            known = self._known_versions(question.services).merged(answers.known)
            if not of_all and answers.answered and known.sole is not None:
                return

    def receive(self, sender: str, content: OriginMessage) -> None:
        """Handle a message of a peer."""
        now = clock.now_s()
        if isinstance(content, OriginReport):
            for entry in content.entries:
                self._table.record(entry, now)
            if content.to_store:
                self._storage.save(content.entries)
        elif isinstance(content, OriginQuestion):
            origin = self._table.get(content.key, now)
            known = self._known_versions(content.services)
            answer = OriginAnswer(content.key, origin, tuple(known.served), known.lacks_history)
            self._peers.send(sender, answer)
        elif content.key in self._questions:
            self._questions[content.key].add(sender, content)
