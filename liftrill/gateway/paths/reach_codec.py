"""Encodes what nodes ask and report about the engines that they reach."""

from collections.abc import Sequence
from dataclasses import dataclass

from liftrill.messages import peer_pb2 as messages

# A number takes eight bytes, so that a datagram stays under 1,200 bytes.
NUMBERS_PER_DATAGRAM = 64


@dataclass(frozen=True, slots=True)
class ReachQuestion:
    """Asks a peer which of some engines it reaches.

    Attributes:
        engines: the numbers of their incarnations.
        needs_probe: whether to probe them even if they worked just before.
    """

    engines: tuple[int, ...]
    needs_probe: bool = False


@dataclass(frozen=True, slots=True)
class ReachAnswer:
    """Which engines of a question the sender reaches over its own links, and which not."""

    reached: tuple[int, ...]
    not_reached: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class NodeReach:
    """Whether the sender reaches no engine over its own links."""

    isolated: bool


ReachMessage = ReachQuestion | ReachAnswer | NodeReach


def questions(engines: Sequence[int], needs_probe: bool) -> list[ReachQuestion]:
    """Return the question about engines, in as many messages as it needs."""
    starts = range(0, len(engines), NUMBERS_PER_DATAGRAM)
    return [
        ReachQuestion(tuple(engines[start : start + NUMBERS_PER_DATAGRAM]), needs_probe)
        for start in starts
    ]


def datagram_from_reach(sender: str, content: ReachMessage) -> messages.Datagram:
    """Return the datagram that carries a message."""
    if isinstance(content, ReachQuestion):
        question = messages.ReachQuestion(engines=content.engines, needs_probe=content.needs_probe)
        return messages.Datagram(sender=sender, reach_question=question)
    if isinstance(content, ReachAnswer):
        answer = messages.ReachAnswer(reached=content.reached, not_reached=content.not_reached)
        return messages.Datagram(sender=sender, reach_answer=answer)
    return messages.Datagram(
        sender=sender, node_reach=messages.NodeReach(isolated=content.isolated)
    )


def reach_from_datagram(message: messages.Datagram) -> ReachMessage | None:
    """Return the message in a datagram, or None if it carries none of these."""
    if message.HasField("reach_question"):
        question = message.reach_question
        return ReachQuestion(tuple(question.engines), question.needs_probe)
    if message.HasField("reach_answer"):
        answer = message.reach_answer
        return ReachAnswer(tuple(answer.reached), tuple(answer.not_reached))
    if message.HasField("node_reach"):
        return NodeReach(message.node_reach.isolated)
    return None
