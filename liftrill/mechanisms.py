"""Switches that disable individual safety mechanisms, for the fault benchmark only.

The fault benchmark shows that its checkers detect a violation when a mechanism is disabled.
The environment variable LIFTRILL_DISABLED_MECHANISMS lists the mechanisms to disable,
separated by commas; a node logs a warning when it is set.
"""

import os
from enum import Enum

ENVIRONMENT_NAME = "LIFTRILL_DISABLED_MECHANISMS"


class Mechanism(Enum):
    """A mechanism that one of the delivery guarantees depends on."""

    CLAIMS = "claims"
    RESTART_ABSTENTION = "restart_abstention"
    ATTEMPT_LEDGER = "attempt_ledger"
    CHUNK_IDENTITY = "chunk_identity"
    STREAM_INDEX = "stream_index"
    SCOPED_SALT = "scoped_salt"
    GENERATION_ORDER = "generation_order"
    DRAIN = "drain"
    LEAVING_MARKS = "leaving_marks"
    PEER_SNAPSHOT = "peer_snapshot"
    PRECONDITIONS = "preconditions"


def _disabled() -> frozenset[Mechanism]:
    names = os.environ.get(ENVIRONMENT_NAME, "")
    return frozenset(Mechanism(name) for name in names.split(",") if name)


DISABLED = _disabled()


def is_enabled(mechanism: Mechanism) -> bool:
    """Return whether a mechanism is enabled, as all are outside the fault benchmark."""
    return mechanism not in DISABLED
