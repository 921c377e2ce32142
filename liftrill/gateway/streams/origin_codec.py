"""Encodes what nodes ask and report about the software versions that began streams."""

from collections.abc import Sequence
from dataclasses import dataclass

from liftrill.gateway.streams.stream_origins import OriginEntry, ServiceVersion
from liftrill.messages import peer_pb2 as messages

# An entry takes about 40 bytes, so that a datagram stays under 1,200 bytes.
ENTRIES_PER_DATAGRAM = 24
MAX_VERSIONS_IN_ANSWER = 16


@dataclass(frozen=True, slots=True)
class OriginReport:
    """Origins of streams that began at the sender.

    Attributes:
        entries: with `expires_at` on the steady clock of the sender or receiver.
        to_store: whether the receiver is to write them to the store.
    """

    entries: tuple[OriginEntry, ...]
    to_store: bool = False


@dataclass(frozen=True, slots=True)
class OriginQuestion:
    """Asks for the origin of a stream.

    Attributes:
        services: the services that its route leads to.
    """

    key: int
    services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class OriginAnswer:
    """What a node knows about the origin of a stream.

    Attributes:
        origin: None if it is unknown.
        served: the versions that lately served in the services of the question.
        lacks_history: whether the sender may not know all versions that served lately.
    """

    key: int
    origin: ServiceVersion | None
    served: tuple[ServiceVersion, ...]
    lacks_history: bool = False


OriginMessage = OriginReport | OriginQuestion | OriginAnswer


def reports(entries: Sequence[OriginEntry], to_store: bool = False) -> list[OriginReport]:
    """Return the report of some origins, in as many messages as it needs."""
    starts = range(0, len(entries), ENTRIES_PER_DATAGRAM)
    return [OriginReport(tuple(entries[at : at + ENTRIES_PER_DATAGRAM]), to_store) for at in starts]


def datagram_from_origin(sender: str, content: OriginMessage, now: float) -> messages.Datagram:
    """Return the datagram that carries a message."""
    if isinstance(content, OriginReport):
        rows = [_entry_message(entry, now) for entry in content.entries]
        return messages.Datagram(stream_origins=rows, stores_origins=content.to_store)
    if isinstance(content, OriginQuestion):
        question = messages.OriginQuestion(key=content.key, services=content.services)
        return messages.Datagram(sender=sender, origin_question=question)
    answer = messages.OriginAnswer(
        key=content.key,
        served=map(_version_message, content.served[:MAX_VERSIONS_IN_ANSWER]),
        lacks_history=content.lacks_history,
    )
    if content.origin is not None:
        answer.origin.CopyFrom(_version_message(content.origin))
    return messages.Datagram(sender=sender, origin_answer=answer)


def origin_from_datagram(message: messages.Datagram, now: float) -> OriginMessage | None:
    """Return the message in a datagram, or None if it carries none of these."""
    if message.stream_origins:
        entries = tuple(_entry(row, now) for row in message.stream_origins)
        return OriginReport(entries, message.stores_origins)
    if message.HasField("origin_question"):
        question = message.origin_question
        return OriginQuestion(question.key, tuple(question.services))
    if message.HasField("origin_answer"):
        answer = message.origin_answer
        origin = _service_version(answer.origin) if answer.HasField("origin") else None
        served = tuple(map(_service_version, answer.served))
        return OriginAnswer(answer.key, origin, served, answer.lacks_history)
    return None


def _entry_message(entry: OriginEntry, now: float) -> messages.StreamOrigin:
    return messages.StreamOrigin(
        key=entry.key,
        origin=_version_message(entry.origin),
        lifetime_seconds=max(0, round(entry.expires_at - now)),
    )


def _entry(row: messages.StreamOrigin, now: float) -> OriginEntry:
    return OriginEntry(row.key, _service_version(row.origin), now + row.lifetime_seconds)


def _version_message(version: ServiceVersion) -> messages.ServiceVersion:
    return messages.ServiceVersion(
        service=version.service, software_version=version.software_version
    )


def _service_version(row: messages.ServiceVersion) -> ServiceVersion:
    return ServiceVersion(row.service, row.software_version)
