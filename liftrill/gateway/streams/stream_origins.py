"""Which software version began each stream, as far as one node knows; performs no I/O.

A caller that resumes a stream names the request that began it. Engines do not check that the stream
goes on at the version that began it, so nodes remember the version by that request.
"""

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from hashlib import blake2b

from liftrill.coordination.membership_messages import Member
from liftrill.coordination.rendezvous import weight
from liftrill.gateway.opaque_request import OpaqueRequest

KEY_BYTES = 8
# About 200 bytes each: 4 MB at most.
MAX_ORIGINS = 20_000
# How long after its request's deadline a stream may be resumed.
RESUMPTION_GRACE_S = 30.0
MAX_LIFETIME_S = 3_600.0
EXPIRY_INTERVAL_S = 5.0
# A few nodes write the origins of all to the store; the loss of one leaves the others' share.
MIN_STORE_WRITERS = 2
NODES_PER_STORE_WRITER = 64
STORE_WRITERS_KEY = b"store-writers"


@dataclass(frozen=True, slots=True)
class ServiceVersion:
    """A service and a software version of its engines.

    Attributes:
        software_version: empty if reports on one stream contradict each other.
    """

    service: str
    software_version: str


@dataclass(slots=True)
class OriginEntry:
    """The version that began one stream.

    Attributes:
        key: identifies the request that began the stream.
        origin: the service and version of the engine that wrote the first event.
        expires_at: until when the stream may be resumed, on the steady clock.
    """

    key: int
    origin: ServiceVersion
    expires_at: float


def origin_key(request: OpaqueRequest, began_by: str) -> int:
    """Return the key of the stream that a request id began, for the caller of a request.

    The tenant and the route are part of it: a caller that names an id of another tenant, or of
    another route, learns and uses nothing about that stream.
    """
    digest = blake2b(digest_size=KEY_BYTES)
    route = request.route
    for text in (request.tenant, route.host, route.path_prefix, began_by):
        data = text.encode(errors="surrogateescape")
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return int.from_bytes(digest.digest(), "big")


class OriginTable:
    """The origins that a node knows, bounded by time and by number.

    Origins of its own streams that were not sent to other nodes are listed apart.
    """

    def __init__(self, max_entries: int = MAX_ORIGINS) -> None:
        self._max_entries = max_entries
        self._entries: dict[int, OriginEntry] = {}
        # By the services of the stream's route, then by key.
        self._unsent: dict[tuple[str, ...], dict[int, OriginEntry]] = {}
        self._expired_at = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def record(self, entry: OriginEntry, now: float) -> None:
        """Record an origin; if it contradicts the known one, neither is used."""
        known = self._entries.pop(entry.key, None)
        if known is not None and known.expires_at > now and known.origin != entry.origin:
            entry = OriginEntry(
                entry.key, ServiceVersion(entry.origin.service, ""), entry.expires_at
            )
        self._entries[entry.key] = entry
        if len(self._entries) > self._max_entries:
            del self._entries[next(iter(self._entries))]

    def get(self, key: int, now: float) -> ServiceVersion | None:
        """Return the origin of a stream, or None if it is unknown."""
        entry = self._entries.get(key)
        return entry.origin if entry is not None and entry.expires_at > now else None

    def keep_unsent(self, services: tuple[str, ...], entry: OriginEntry) -> None:
        """Note an origin that other nodes do not need as long as one version serves."""
        of_services = self._unsent.setdefault(services, {})
        of_services[entry.key] = entry
        if len(of_services) > self._max_entries:
            del of_services[next(iter(of_services))]

    def unsent_services(self) -> Iterator[tuple[str, ...]]:
        """Return the services that streams with unsent origins may have."""
        return iter(list(self._unsent))

    def take_unsent(self, services: tuple[str, ...], now: float) -> list[OriginEntry]:
        """Return the unsent origins of streams of some services, and forget that they are."""
        entries = self._unsent.pop(services, {}).values()
        return [entry for entry in entries if entry.expires_at > now]

    def expire(self, now: float) -> None:
        """Drop the origins of streams that can no longer be resumed."""
        if now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        self._entries = {k: e for k, e in self._entries.items() if e.expires_at > now}
        for services, entries in list(self._unsent.items()):
            self._unsent[services] = {k: e for k, e in entries.items() if e.expires_at > now}
            if not self._unsent[services]:
                del self._unsent[services]


def holders(key: int, nodes: Sequence[Member]) -> list[Member]:
    """Return the two nodes that hold the origin of a stream, in two zones if there are two."""
    key_bytes = key.to_bytes(KEY_BYTES, "big")
    weighted = [(weight(key_bytes, node.node_id), node) for node in nodes]
    if not weighted:
        return []
    first = max(weighted, key=lambda pair: pair[0])
    others = [pair for pair in weighted if pair[1].zone != first[1].zone]
    others = others or [pair for pair in weighted if pair is not first]
    second = max(others, key=lambda pair: pair[0], default=None)
    return [first[1]] if second is None else [first[1], second[1]]


def store_writers(nodes: Sequence[Member]) -> list[Member]:
    """Return the nodes that write origins to the store, in the same order at all nodes."""
    count = max(MIN_STORE_WRITERS, math.ceil(len(nodes) / NODES_PER_STORE_WRITER))
    ordered = sorted(nodes, key=lambda node: weight(STORE_WRITERS_KEY, node.node_id))
    return ordered[:count]


def nodes_to_ask(key: int, nodes: Sequence[Member]) -> list[Member]:
    """Return the nodes that hold the origin of a stream, for any node that may have begun it.

    The node that began the stream sent its origin to others alone, and it may have known one node
    less than this one.
    """
    found = holders(key, nodes)
    asked = {node.node_id: node for node in found}
    for node in found:
        others = holders(key, [each for each in nodes if each is not node])
        asked.update((other.node_id, other) for other in others)
    return list(asked.values())
