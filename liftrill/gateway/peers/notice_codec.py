"""Turns notices of the weight controller into datagrams and back."""

from liftrill.gateway.engines.engine_table import EngineNotice
from liftrill.messages import peer_pb2 as messages


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
