"""Encodes and decodes the messages between a reader of the store and its followers."""

import math
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from google.protobuf.message import DecodeError

from liftrill.coordination.range_store import RemovedItem, StoredItem, WatchBatch
from liftrill.coordination.store_position import (
    era_of,
    lease_id,
    lease_number,
    position,
    revision_of,
)
from liftrill.errors import LiftrillError
from liftrill.messages import peer_pb2 as messages

# Compression gains nothing below this size.
MIN_DEFLATED_BYTES = 1_024
DEFLATE_LEVEL = 1
MAX_VALUE_BYTES = 64 * 1024 * 1024
SNAPSHOT_ITEMS_PER_MESSAGE = 128
MAX_AGE_MS = 0xFFFFFFFF


class RelayDecodeError(LiftrillError):
    """The data received from a peer is not a valid relay message."""


@dataclass(frozen=True, slots=True)
class RelayUpdate:
    """Changes, or a part of a snapshot.

    Attributes:
        snapshot: whether the batch is a part of a snapshot.
        more: whether further parts of the snapshot follow.
    """

    batch: WatchBatch
    snapshot: bool = False
    more: bool = False


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """How current the reader was when it answered a question.

    Attributes:
        nonce: the nonce of the question.
        version: the configuration version in force at the reader.
        proof_age_s: time since the reader's last proof that this version is the newest.
        at: the position of the reader's mirror; all changes up to it were sent before.
        mirror_age_s: time for which the reader's mirror may lack changes.
        path: the relay path of changes, from the reader to the node that reads the store; empty
            if no node reads it.
    """

    nonce: int
    version: int
    proof_age_s: float
    at: int
    mirror_age_s: float
    path: tuple[str, ...]


def encode_question(nonce: int) -> bytes:
    """Encode a question."""
    return messages.RelayQuestion(nonce=nonce).SerializeToString()


def decode_question(data: bytes) -> int:
    """Return the nonce of a question."""
    try:
        return messages.RelayQuestion.FromString(data).nonce
    except DecodeError as error:
        raise RelayDecodeError(f"not a relay question: {error}") from error


def encode_batch(batch: WatchBatch) -> bytes:
    """Encode a batch of changes, all of which are of one era."""
    items = [_encode_change(change) for change in batch.changes]
    era = era_of(max(batch.position, *(change.revision for change in batch.changes), 0))
    return messages.RelayMessage(
        items=items, at=revision_of(batch.position), era=era
    ).SerializeToString()


def encode_snapshot(items: Iterable[StoredItem], at: int) -> Iterator[bytes]:
    """Yield the messages of a snapshot of all items."""
    rows = [_encode_change(item) for item in items]
    step = SNAPSHOT_ITEMS_PER_MESSAGE
    for start in range(0, max(1, len(rows)), step):
        more = start + step < len(rows)
        part = rows[start : start + step]
        message = messages.RelayMessage(
            items=part, at=revision_of(at), snapshot=True, more=more, era=era_of(at)
        )
        yield message.SerializeToString()


def encode_answer(answer: RelayAnswer) -> bytes:
    """Encode an answer."""
    row = messages.RelayAnswer(
        nonce=answer.nonce,
        version=answer.version,
        proof_age_milliseconds=_milliseconds(answer.proof_age_s),
        mirror_age_milliseconds=_milliseconds(answer.mirror_age_s),
        path=answer.path,
    )
    at, era = revision_of(answer.at), era_of(answer.at)
    return messages.RelayMessage(at=at, answer=row, era=era).SerializeToString()


def _milliseconds(age_s: float) -> int:
    """Return an age in milliseconds, rounded up; an infinite age becomes the largest value."""
    return MAX_AGE_MS if math.isinf(age_s) else min(int(age_s * 1000) + 1, MAX_AGE_MS)


def decode_message(data: bytes) -> RelayUpdate | RelayAnswer:
    """Decode a message of a reader."""
    try:
        message = messages.RelayMessage.FromString(data)
        if message.HasField("answer"):
            row = message.answer
            age_s = row.proof_age_milliseconds / 1000.0
            mirror_age_s = row.mirror_age_milliseconds / 1000.0
            at = position(message.era, message.at)
            return RelayAnswer(row.nonce, row.version, age_s, at, mirror_age_s, tuple(row.path))
        changes = tuple(_decode_change(row, message.era) for row in message.items)
        batch = WatchBatch(changes, position(message.era, message.at))
        return RelayUpdate(batch, message.snapshot, message.more)
    except (DecodeError, ValueError, zlib.error) as error:
        raise RelayDecodeError(f"not a relay message: {error}") from error


def _encode_change(change: StoredItem | RemovedItem) -> messages.RelayItem:
    if isinstance(change, RemovedItem):
        revision = revision_of(change.revision)
        return messages.RelayItem(key=change.key, revision=revision, removed=True)
    value = change.value
    deflated = len(value) >= MIN_DEFLATED_BYTES
    return messages.RelayItem(
        key=change.key,
        value=zlib.compress(value, DEFLATE_LEVEL) if deflated else value,
        revision=revision_of(change.revision),
        lease=lease_number(change.lease),
        deflated=deflated,
    )


def _decode_change(row: messages.RelayItem, era: int) -> StoredItem | RemovedItem:
    revision = position(era, row.revision)
    if row.removed:
        return RemovedItem(row.key, revision)
    value = _inflate(row.value) if row.deflated else row.value
    return StoredItem(row.key, value, revision, lease_id(era, row.lease))


def _inflate(data: bytes) -> bytes:
    inflater = zlib.decompressobj()
    value = inflater.decompress(data, MAX_VALUE_BYTES)
    if inflater.unconsumed_tail or not inflater.eof:
        raise RelayDecodeError(
            f"a compressed value is truncated or larger than {MAX_VALUE_BYTES} bytes"
        )
    return value
