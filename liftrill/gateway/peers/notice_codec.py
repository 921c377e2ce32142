"""Turns what nodes tell each other of engines into datagrams and back."""

from collections.abc import Sequence

from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_table import EngineNotice
from liftrill.messages import peer_pb2 as messages

# An engine takes some 60 bytes (worked out from the wire format): a datagram stays under 1,200.
LEAVING_PER_DATAGRAM = 16


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
    cuts = [
        engines[at : at + LEAVING_PER_DATAGRAM]
        for at in range(0, len(engines), LEAVING_PER_DATAGRAM)
    ]
    return [messages.Datagram(leaving=[_leaving_message(engine) for engine in cut]) for cut in cuts]


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
