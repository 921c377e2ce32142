"""Rendezvous (highest random weight) hashing, after Thaler and Ravishankar (1996)."""

import math
from collections.abc import Collection, Iterable, Mapping
from itertools import islice

import xxhash

HASH_COUNT = 2.0**64


def rank(key: bytes, candidates: Iterable[str]) -> list[str]:
    """Return the candidates for a key, by descending weight.

    Every caller with the same candidates gets the same order, and removing a candidate
    leaves the order of the others unchanged.
    """
    return sorted(candidates, key=lambda name: weight(key, name), reverse=True)


def first(key: bytes, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the greatest weight for a key, or None without candidates."""
    return max(candidates, key=lambda name: weight(key, name), default=None)


def is_among_first(key: bytes, name: str, candidates: Collection[str], count: int) -> bool:
    """Return whether a name is one of the first candidates of `rank`.

    Hashes only as many candidates as it takes to find `count` that precede the name.
    """
    if name not in candidates:
        return False
    own = weight(key, name)
    preceding = (other for other in candidates if weight(key, other) > own)
    return len(list(islice(preceding, count))) < count


def first_weighted(key: bytes, weights: Mapping[str, float]) -> str | None:
    """Return the candidate for a key; each candidate gets a share of keys by its weight.

    With equal weights the result is that of `first`. Changing the weight of a candidate moves
    no key between the other candidates.
    """
    if len(set(weights.values())) < 2:
        return first(key, weights)

    def score(name: str) -> tuple[float, str]:
        digest, _ = weight(key, name)
        return -weights[name] / math.log((digest + 0.5) / HASH_COUNT), name

    return max(weights, key=score)


def weight(key: bytes, candidate: str) -> tuple[int, str]:
    """Return the weight of a candidate for a key; its name breaks ties."""
    digest = xxhash.xxh3_64_intdigest(key + b"\x00" + candidate.encode())
    return digest, candidate
