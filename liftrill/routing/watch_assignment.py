"""Assigns watches to nodes by rendezvous hashing over the members, without coordination."""

from collections.abc import Iterable

from liftrill.coordination import rendezvous

STORE_WATCH_KEY = b"store"


def watched_engines(own_id: str, members: Iterable[str], engines: Iterable[str]) -> list[str]:
    """Return the engines that this node must poll for their reports."""
    members = list(members)
    return [
        engine_id
        for engine_id in engines
        if rendezvous.first(engine_id.encode(), members) == own_id
    ]


def watches_store(own_id: str, region_members: Iterable[str], watchers: int) -> bool:
    """Return whether this node is one of those that watch the store for their region."""
    return own_id in rendezvous.rank(STORE_WATCH_KEY, region_members)[:watchers]
