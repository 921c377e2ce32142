"""Encodes what nodes ask and report about the engines that they reach or had responses of."""

from collections.abc import Sequence
from dataclasses import dataclass

from liftrill.messages import peer_pb2 as messages

# A number takes eight bytes, so that a datagram stays under 1,200 bytes.
NUMBERS_PER_DATAGRAM = 64
# The newest ends that an answer reports.
MAX_ENDS = 64
US_PER_S = 1_000_000


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


@dataclass(frozen=True, slots=True)
class ResponseEndQuestion:
    """Asks a peer when responses of an engine ended with their connections there.

    Attributes:
        engine: the number of its incarnation.
        nonce: identifies the question.
    """

    engine: int
    nonce: int


@dataclass(frozen=True, slots=True)
class ResponseEndAnswer:
    """When responses of an engine ended with their connections at the sender.

    Attributes:
        held_s: the time from the question until the answer.
        ends: of each, its age when the answer was sent, and the delay after the last bytes.
    """

    engine: int
    nonce: int
    held_s: float
    ends: tuple[tuple[float, float], ...]


ResponseEndMessage = ResponseEndQuestion | ResponseEndAnswer
ReachMessage = ReachQuestion | ReachAnswer | NodeReach | ResponseEndMessage


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
    if isinstance(content, ResponseEndQuestion):
        asked = messages.ResponseEndQuestion(engine=content.engine, nonce=content.nonce)
        return messages.Datagram(sender=sender, response_end_question=asked)
    if isinstance(content, ResponseEndAnswer):
        return messages.Datagram(sender=sender, response_end_answer=_message_from_ends(content))
    return messages.Datagram(
        sender=sender, node_reach=messages.NodeReach(isolated=content.isolated)
    )


def _message_from_ends(answer: ResponseEndAnswer) -> messages.ResponseEndAnswer:
    return messages.ResponseEndAnswer(
        engine=answer.engine,
        nonce=answer.nonce,
        held_microseconds=round(US_PER_S * answer.held_s),
        ends=[
            messages.ResponseEnd(
                age_microseconds=round(US_PER_S * age_s),
                delay_microseconds=round(US_PER_S * delay_s),
            )
            for age_s, delay_s in sorted(answer.ends)[:MAX_ENDS]
        ],
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
    if message.HasField("response_end_question"):
        asked = message.response_end_question
        return ResponseEndQuestion(asked.engine, asked.nonce)
    if message.HasField("response_end_answer"):
        reported = message.response_end_answer
        ends = tuple(
            (end.age_microseconds / US_PER_S, end.delay_microseconds / US_PER_S)
            for end in reported.ends
        )
        held_s = reported.held_microseconds / US_PER_S
        return ResponseEndAnswer(reported.engine, reported.nonce, held_s, ends)
    return None
