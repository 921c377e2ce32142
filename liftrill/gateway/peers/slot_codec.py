"""Encodes the messages between nodes about the slots of brittle engines."""

from liftrill.gateway.engines.engine_slots import (
    BrittleReport,
    SlotMessage,
    SlotReport,
    SlotRequest,
    SlotResponse,
)
from liftrill.messages import peer_pb2 as messages

MS_PER_S = 1000.0


def datagram_from_slot_message(sender: str, content: SlotMessage) -> messages.Datagram:
    """Return the datagram that carries a message."""
    datagram = messages.Datagram(sender=sender)
    if isinstance(content, SlotRequest):
        datagram.slot_request.engine = content.engine
        datagram.slot_request.number = content.number
        datagram.slot_request.held = content.held
        datagram.slot_request.received_serial = content.received_serial
        datagram.slot_request.sent_at = content.sent_at
        datagram.slot_request.urgency = max(0, content.urgency)
        datagram.slot_request.patience_milliseconds = round(MS_PER_S * content.patience_s)
    elif isinstance(content, SlotResponse):
        datagram.slot_response.engine = content.engine
        datagram.slot_response.number = content.number
        datagram.slot_response.serial = content.serial
    elif isinstance(content, SlotReport):
        datagram.slot_report.engine = content.engine
        datagram.slot_report.held = content.held
        datagram.slot_report.received_serial = content.received_serial
        datagram.slot_report.sent_at = content.sent_at
        datagram.slot_report.rejected = content.rejected
    else:
        datagram.brittle_service = content.service
    return datagram


def slot_message_from_datagram(message: messages.Datagram) -> SlotMessage | None:
    """Return the message in a datagram, or None if it carries none of these."""
    if message.HasField("slot_request"):
        request = message.slot_request
        return SlotRequest(
            request.engine,
            request.held,
            request.received_serial,
            request.sent_at,
            request.number,
            request.urgency,
            request.patience_milliseconds / MS_PER_S,
        )
    if message.HasField("slot_response"):
        response = message.slot_response
        return SlotResponse(response.engine, response.number, response.serial)
    if message.HasField("slot_report"):
        report = message.slot_report
        return SlotReport(
            report.engine, report.held, report.received_serial, report.sent_at, report.rejected
        )
    if message.brittle_service:
        return BrittleReport(message.brittle_service)
    return None
