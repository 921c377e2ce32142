"""Turns what nodes tell each other of engines into datagrams and back."""

import math
from collections.abc import Sequence
from typing import TypeVar

from liftrill.coordination.permits import PermitDecision
from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_limits import (
    EngineLimit,
    LimitMessage,
    PermitReceipt,
    PermitRequest,
    PermitResponse,
)
from liftrill.gateway.engines.engine_table import EngineNotice
from liftrill.gateway.engines.unrecorded_engine_state import (
    SeenWeights,
    UnrecordedEngineState,
    WithheldRecord,
)
from liftrill.messages import peer_pb2 as messages
from liftrill.node.membership_codec import GossipDecodeError

# An engine takes some 60 bytes (worked out from the wire format): a datagram stays under 1,200.
ROWS_PER_DATAGRAM = 16
MS_PER_S = 1000.0

_Row = TypeVar("_Row")


def datagram_from_notices(notices: list[EngineNotice]) -> messages.Datagram:
    """Return the datagram that carries some notices."""
    return messages.Datagram(
        notices=[
            messages.EngineNotice(
                engine_id=notice.engine_id,
                model=notice.model,
                version=notice.version,
                loading=notice.loading,
                sequence=notice.sequence,
                engine=notice.number,
            )
            for notice in notices
        ]
    )


def notice_from_message(message: messages.EngineNotice) -> EngineNotice:
    """Return the notice that a message carries."""
    return EngineNotice(
        message.engine_id,
        message.model,
        message.version,
        message.loading,
        message.sequence,
        message.engine,
    )


def datagrams_from_leaving(engines: Sequence[EngineAddress]) -> list[messages.Datagram]:
    """Return the datagrams that tell of engines which leave."""
    rows = [_leaving_message(engine) for engine in engines]
    return [messages.Datagram(leaving=cut) for cut in _cuts(rows)]


def datagrams_from_limits(limits: Sequence[EngineLimit]) -> list[messages.Datagram]:
    """Return the datagrams that tell of limits which begin or end."""
    rows = [limit_message(limit) for limit in limits]
    return [messages.Datagram(limits=cut) for cut in _cuts(rows)]


def datagrams_from_update(update: UnrecordedEngineState) -> list[messages.Datagram]:
    """Return the datagrams that tell a node that joins of engines."""
    withheld = [
        messages.WithheldRecord(engine_id=record.engine_id, revision=record.revision)
        for record in update.withheld
    ]
    weights = [
        messages.SeenWeights(
            engine_id=seen.engine.engine_id,
            engine=seen.engine.number,
            address=seen.engine.address,
            model=seen.model,
            version=seen.version,
        )
        for seen in update.weights
    ]
    return [
        *datagrams_from_leaving(update.leaving),
        *(messages.Datagram(withheld=cut) for cut in _cuts(withheld)),
        *(messages.Datagram(seen_weights=cut) for cut in _cuts(weights)),
        *datagrams_from_limits(update.limits),
    ]


def update_from_message(message: messages.Datagram) -> UnrecordedEngineState:
    """Return what a datagram tells of engines; those that leave and have no number are left out."""
    return UnrecordedEngineState(
        tuple(leaving_from_message(message)),
        tuple(WithheldRecord(row.engine_id, row.revision) for row in message.withheld),
        tuple(
            SeenWeights(
                EngineAddress(row.engine_id, row.address, row.engine), row.model, row.version
            )
            for row in message.seen_weights
            if row.engine
        ),
        tuple(limit_from_message(row) for row in message.limits if row.engine),
    )


def _cuts(rows: list[_Row]) -> list[list[_Row]]:
    return [rows[at : at + ROWS_PER_DATAGRAM] for at in range(0, len(rows), ROWS_PER_DATAGRAM)]


def _leaving_message(engine: EngineAddress) -> messages.LeavingEngine:
    return messages.LeavingEngine(
        engine_id=engine.engine_id, address=engine.address, engine=engine.number
    )


def leaving_from_message(message: messages.Datagram) -> list[EngineAddress]:
    """Return the engines that leave, as a datagram tells; those without a number are left out."""
    return [
        EngineAddress(row.engine_id, row.address, row.engine)
        for row in message.leaving
        if row.engine
    ]


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
    """Return the limit in a message.

    Raises:
        GossipDecodeError: its rate is no number of requests.
    """
    if not 0.0 <= message.rate_per_second < math.inf:
        raise GossipDecodeError("a limit without a rate")
    engine = EngineAddress(message.engine_id, message.address, message.engine)
    return EngineLimit(engine, message.rate_per_second, message.serial, not message.ended)


def has_limit_message(message: messages.Datagram) -> bool:
    """Return whether a datagram asks for a permit, answers or tells what came of one."""
    return any(
        message.HasField(field) for field in ("permit_request", "permit_response", "permit_receipt")
    )


def datagram_from_limit_message(sender: str, content: LimitMessage) -> messages.Datagram:
    """Return the datagram that carries a request, a response or a receipt."""
    if isinstance(content, PermitRequest):
        request = messages.PermitRequest(
            limit=limit_message(content.limit),
            number=content.number,
            patience_milliseconds=_milliseconds(content.patience_s),
        )
        return messages.Datagram(sender=sender, permit_request=request)
    if isinstance(content, PermitResponse):
        decision = content.decision
        response = messages.PermitResponse(
            limit=limit_message(content.limit),
            number=decision.number,
            granted=decision.granted,
            wait_milliseconds=_milliseconds(decision.wait_s),
            run=decision.run,
            issued_at=decision.issued_at,
        )
        return messages.Datagram(sender=sender, permit_response=response)
    rate_per_s = content.rate_per_s
    limit = EngineLimit(content.engine, rate_per_s or 0.0, in_force=rate_per_s is not None)
    receipt = messages.PermitReceipt(
        limit=limit_message(limit), run=content.run, issued_at=content.issued_at
    )
    return messages.Datagram(sender=sender, permit_receipt=receipt)


def limit_message_from(message: messages.Datagram) -> LimitMessage:
    """Return the request, the response or the receipt that a datagram carries."""
    if message.HasField("permit_request"):
        request = message.permit_request
        return PermitRequest(
            limit_from_message(request.limit),
            request.number,
            request.patience_milliseconds / MS_PER_S,
        )
    if message.HasField("permit_response"):
        response = message.permit_response
        decision = PermitDecision(
            response.number,
            response.granted,
            response.wait_milliseconds / MS_PER_S,
            response.run,
            response.issued_at,
        )
        return PermitResponse(limit_from_message(response.limit), decision)
    receipt = message.permit_receipt
    limit = limit_from_message(receipt.limit)
    rate_per_s = limit.rate_per_s if limit.in_force else None
    return PermitReceipt(limit.engine, receipt.run, receipt.issued_at, rate_per_s)


def _milliseconds(seconds: float) -> int:
    return round(MS_PER_S * seconds)
