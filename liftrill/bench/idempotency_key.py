"""Generates idempotency keys as callers do: UUIDv7 (RFC 9562, section 5.7)."""

import random
import time
import uuid

RANDOM_A_BITS = 12
RANDOM_B_BITS = 62
VERSION = 7
VARIANT = 0b10


def new_key(random_source: random.Random, unix_seconds: float | None = None) -> str:
    """Return a UUIDv7 key for the current time, or for a given Unix time."""
    seconds = time.time() if unix_seconds is None else unix_seconds
    value = int(seconds * 1000) << 80
    value |= VERSION << 76
    value |= random_source.getrandbits(RANDOM_A_BITS) << 64
    value |= VARIANT << 62
    value |= random_source.getrandbits(RANDOM_B_BITS)
    return str(uuid.UUID(int=value))
