"""Encoding of gossip packets: protobuf messages, authenticated with a shared key."""

import hashlib
import hmac
from collections.abc import Iterable
from dataclasses import dataclass

from liftrill import constants
from liftrill.coordination.membership_messages import Datagram
from liftrill.messages import peer_pb2 as messages
from liftrill.node.membership_codec import (
    GossipDecodeError,
    datagram_from_message,
    datagram_message,
    member_from_message,
    member_message,
    parse_message,
)
from liftrill.routing.engine_records import EngineObservation, EngineRecords
from liftrill.routing.engine_state import EngineIdentity, EngineListing

SIGNATURE_BYTES = 16

__all__ = [
    "GossipDecodeError",
    "GossipPacket",
    "decode_packet",
    "encode_packet",
    "listing_from_message",
    "listing_message",
    "member_from_message",
    "member_message",
    "observation_from_message",
    "observation_message",
    "with_records",
]


@dataclass(frozen=True, slots=True)
class GossipPacket:
    """A membership datagram and the engine records piggybacked on it."""

    datagram: Datagram
    listings: tuple[EngineListing, ...]
    observations: tuple[EngineObservation, ...]


def with_records(datagram: Datagram, records: EngineRecords, member_count: int) -> GossipPacket:
    """Return a packet of a datagram and the engine records that are due for dissemination."""
    count = constants.GOSSIP_RECORDS_PER_DATAGRAM
    return GossipPacket(
        datagram,
        tuple(records.take_listings(count, member_count)),
        tuple(records.take_observations(count, member_count)),
    )


def encode_packet(packet: GossipPacket, shared_key: bytes) -> bytes:
    """Return a packet as bytes: the signature, followed by the protobuf message."""
    message = datagram_message(packet.datagram)
    message.engines.extend(listing_message(listing) for listing in packet.listings)
    message.observations.extend(observation_message(o) for o in packet.observations)
    content = message.SerializeToString()
    return _signature(shared_key, content) + content


def decode_packet(data: bytes, shared_keys: Iterable[bytes]) -> GossipPacket:
    """Authenticate and decode a packet.

    Raises:
        GossipDecodeError: no accepted key matches the signature, or the packet is malformed.
    """
    signature, content = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
    if not any(hmac.compare_digest(signature, _signature(k, content)) for k in shared_keys):
        raise GossipDecodeError("no accepted key matches the packet's signature")
    message = parse_message(content)
    return GossipPacket(
        datagram_from_message(message),
        tuple(listing_from_message(m) for m in message.engines),
        tuple(observation_from_message(m) for m in message.observations),
    )


def listing_message(listing: EngineListing) -> messages.EngineListing:
    """Return the message of a listing."""
    condition = messages.LISTED_LEAVING if listing.leaving else messages.LISTED
    return messages.EngineListing(
        engine_id=listing.engine_id,
        address=listing.address,
        zone=listing.zone,
        pool=listing.pool,
        version=listing.version,
        condition=messages.REMOVED if listing.removed else condition,
    )


def listing_from_message(message: messages.EngineListing) -> EngineListing:
    """Return the listing of a message."""
    return EngineListing(
        message.engine_id,
        message.address,
        message.zone,
        message.pool,
        message.condition != messages.LISTED,
        message.version,
        message.condition == messages.REMOVED,
    )


def observation_message(observation: EngineObservation) -> messages.EngineObservation:
    """Return the message of an observation."""
    identity = observation.identity
    return messages.EngineObservation(
        engine_id=observation.engine_id,
        incarnation=identity.incarnation,
        revision=identity.revision,
        weight_version=identity.weight_version,
        leaving=identity.leaving,
        pool=identity.pool,
    )


def observation_from_message(message: messages.EngineObservation) -> EngineObservation:
    """Return the observation of a message."""
    identity = EngineIdentity(
        message.incarnation,
        message.revision,
        message.weight_version,
        message.leaving,
        message.pool,
    )
    return EngineObservation(message.engine_id, identity)


def _signature(shared_key: bytes, content: bytes) -> bytes:
    return hmac.digest(shared_key, content, hashlib.sha256)[:SIGNATURE_BYTES]
