"""Rendezvous (highest random weight) hashing, after Thaler and Ravishankar, 1996."""

from collections.abc import Iterable

import xxhash


def rank(key: bytes, candidates: Iterable[str]) -> list[str]:
    """Return the candidates in descending weight for a key.

    Every caller with the same candidates gets the same order, and removing a candidate
    leaves the order of the others unchanged.
    """
    return sorted(candidates, key=lambda name: weight(key, name), reverse=True)


def first(key: bytes, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the greatest weight for a key, or None without candidates."""
    return max(candidates, key=lambda name: weight(key, name), default=None)


def weight(key: bytes, candidate: str) -> tuple[int, str]:
    """Return a candidate's weight for a key; the name breaks ties."""
    digest = xxhash.xxh3_64_intdigest(key + b"\x00" + candidate.encode())
    return digest, candidate
