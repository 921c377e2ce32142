"""Encodes the engine messages between nodes into datagrams and decodes them."""

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

# A row takes some 60 bytes encoded, so that a datagram stays under 1,200 bytes.
ROWS_PER_DATAGRAM = 16
MS_PER_S = 1000.0

_Row = TypeVar("_Row")


def datagram_from_notices(notices: list[EngineNotice]) -> messages.Datagram:
    """Return the datagram that carries notices."""
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
    """Return the notice in a message."""
    return EngineNotice(
        message.engine_id,
        message.model,
        message.version,
        message.loading,
        message.sequence,
        message.engine,
    )


def datagrams_from_leaving(engines: Sequence[EngineAddress]) -> list[messages.Datagram]:
    """Return the datagrams that report leaving engines."""
    rows = [_leaving_message(engine) for engine in engines]
    return [messages.Datagram(leaving=chunk) for chunk in _chunks(rows)]


def datagrams_from_limits(limits: Sequence[EngineLimit]) -> list[messages.Datagram]:
    """Return the datagrams that report limits which begin or end."""
    rows = [message_from_limit(limit) for limit in limits]
    return [messages.Datagram(limits=chunk) for chunk in _chunks(rows)]


def datagrams_from_update(update: UnrecordedEngineState) -> list[messages.Datagram]:
    """Return the datagrams that carry the update for a joining node."""
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
        *(messages.Datagram(withheld=chunk) for chunk in _chunks(withheld)),
        *(messages.Datagram(seen_weights=chunk) for chunk in _chunks(weights)),
        *datagrams_from_limits(update.limits),
    ]


def update_from_message(message: messages.Datagram) -> UnrecordedEngineState:
    """Return the update in a datagram, without leaving engines that have no number."""
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


def _chunks(rows: list[_Row]) -> list[list[_Row]]:
    return [
        rows[start : start + ROWS_PER_DATAGRAM] for start in range(0, len(rows), ROWS_PER_DATAGRAM)
    ]


def _leaving_message(engine: EngineAddress) -> messages.LeavingEngine:
    return messages.LeavingEngine(
        engine_id=engine.engine_id, address=engine.address, engine=engine.number
    )


def leaving_from_message(message: messages.Datagram) -> list[EngineAddress]:
    """Return the leaving engines in a datagram, without those that have no number."""
    return [
        EngineAddress(row.engine_id, row.address, row.engine)
        for row in message.leaving
        if row.engine
    ]


def message_from_limit(limit: EngineLimit) -> messages.EngineLimit:
    """Return the message that carries a limit."""
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
        GossipDecodeError: its rate is negative or not finite.
    """
    if not 0.0 <= message.rate_per_second < math.inf:
        raise GossipDecodeError(f"invalid rate in a limit: {message.rate_per_second} requests/s")
    engine = EngineAddress(message.engine_id, message.address, message.engine)
    return EngineLimit(engine, message.rate_per_second, message.serial, not message.ended)


def has_limit_message(message: messages.Datagram) -> bool:
    """Return whether a datagram carries a permit request, a permit response or a receipt."""
    return any(
        message.HasField(field) for field in ("permit_request", "permit_response", "permit_receipt")
    )


def datagram_from_limit_message(sender: str, content: LimitMessage) -> messages.Datagram:
    """Return the datagram that carries a permit request, a permit response or a receipt."""
    if isinstance(content, PermitRequest):
        request = messages.PermitRequest(
            limit=message_from_limit(content.limit),
            number=content.number,
            patience_milliseconds=_milliseconds(content.patience_s),
        )
        return messages.Datagram(sender=sender, permit_request=request)
    if isinstance(content, PermitResponse):
        decision = content.decision
        response = messages.PermitResponse(
            limit=message_from_limit(content.limit),
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
        limit=message_from_limit(limit), run=content.run, issued_at=content.issued_at
    )
    return messages.Datagram(sender=sender, permit_receipt=receipt)


def limit_message_from_datagram(message: messages.Datagram) -> LimitMessage:
    """Return the permit request, the permit response or the receipt in a datagram."""
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
