"""Turns what nodes tell each other of engines into datagrams and back."""

from collections.abc import Sequence
from typing import TypeVar

from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_limits import EngineLimit
from liftrill.gateway.engines.engine_table import EngineNotice
from liftrill.gateway.engines.engine_update import EngineUpdate, SeenWeights, WithheldRecord
from liftrill.gateway.peers.limit_codec import limit_from_message, limit_message
from liftrill.messages import peer_pb2 as messages

# An engine takes some 60 bytes (worked out from the wire format): a datagram stays under 1,200.
ROWS_PER_DATAGRAM = 16

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


def datagrams_from_update(update: EngineUpdate) -> list[messages.Datagram]:
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


def update_from_message(message: messages.Datagram) -> EngineUpdate:
    """Return what a datagram tells of engines; those that leave and have no number are left out."""
    return EngineUpdate(
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
