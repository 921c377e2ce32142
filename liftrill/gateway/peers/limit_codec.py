"""Turns what nodes tell each other of engines' limits and permits into messages and back."""

from liftrill.coordination.permits import PermitAnswer
from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_limits import (
    EngineLimit,
    LimitMessage,
    PermitQuestion,
    PermitReceipt,
    PermitReply,
)
from liftrill.messages import peer_pb2 as messages

MS_PER_S = 1000.0


def limit_message(limit: EngineLimit) -> messages.EngineLimit:
    """Return the message of a limit."""
    return messages.EngineLimit(
        engine_id=limit.engine.engine_id,
        address=limit.engine.address,
        engine=limit.engine.number,
        rate_per_second=limit.rate_per_s,
        serial=limit.serial,
        ended=not limit.in_force,
    )


def limit_from_message(message: messages.EngineLimit) -> EngineLimit:
    """Return the limit in a message."""
    engine = EngineAddress(message.engine_id, message.address, message.engine)
    return EngineLimit(engine, message.rate_per_second, message.serial, not message.ended)


def has_limit_message(message: messages.Datagram) -> bool:
    """Return whether a datagram asks for a permit, answers or tells what came of one."""
    return any(
        message.HasField(field) for field in ("permit_question", "permit_reply", "permit_receipt")
    )


def datagram_from_limit_message(sender: str, content: LimitMessage) -> messages.Datagram:
    """Return the datagram that carries a question, a reply or a receipt."""
    if isinstance(content, PermitQuestion):
        question = messages.PermitQuestion(
            limit=limit_message(content.limit),
            number=content.number,
            patience_milliseconds=_milliseconds(content.patience_s),
        )
        return messages.Datagram(sender=sender, permit_question=question)
    if isinstance(content, PermitReply):
        answer = content.answer
        reply = messages.PermitReply(
            limit=limit_message(content.limit),
            number=answer.number,
            granted=answer.granted,
            wait_milliseconds=_milliseconds(answer.wait_s),
            run=answer.run,
            issued_at=answer.issued_at,
        )
        return messages.Datagram(sender=sender, permit_reply=reply)
    rate_per_s = content.rate_per_s
    limit = EngineLimit(content.engine, rate_per_s or 0.0, in_force=rate_per_s is not None)
    receipt = messages.PermitReceipt(
        limit=limit_message(limit), run=content.run, issued_at=content.issued_at
    )
    return messages.Datagram(sender=sender, permit_receipt=receipt)


def limit_message_from(message: messages.Datagram) -> LimitMessage:
    """Return the question, the reply or the receipt that a datagram carries."""
    if message.HasField("permit_question"):
        question = message.permit_question
        return PermitQuestion(
            limit_from_message(question.limit),
            question.number,
            question.patience_milliseconds / MS_PER_S,
        )
    if message.HasField("permit_reply"):
        reply = message.permit_reply
        answer = PermitAnswer(
            reply.number,
            reply.granted,
            reply.wait_milliseconds / MS_PER_S,
            reply.run,
            reply.issued_at,
        )
        return PermitReply(limit_from_message(reply.limit), answer)
    receipt = message.permit_receipt
    limit = limit_from_message(receipt.limit)
    rate_per_s = limit.rate_per_s if limit.in_force else None
    return PermitReceipt(limit.engine, receipt.run, receipt.issued_at, rate_per_s)


def _milliseconds(seconds: float) -> int:
    return round(MS_PER_S * seconds)
