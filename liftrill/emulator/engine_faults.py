"""Faults that a test can switch on in the engine stand-in."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

FaultKind = Literal[
    "none",
    "crash",
    "freeze",
    "cut_streams",
    "foreign_answers",
    "repeated_chunks",
    "event_loss",
    "leave",
    "accept_while_leaving",
    "load",
]


class EngineFault(BaseModel):
    """Body of `POST /admin/fault`.

    Attributes:
        kind: crash (forget everything, cut all connections, new incarnation), freeze (no
            progress for `seconds`), cut_streams (cut all connections, keep working),
            foreign_answers (for `seconds`, precede each stream with a chunk that belongs
            to another request), repeated_chunks (for `seconds`, send each chunk twice),
            event_loss (lose `share` of cache events), leave (say so and refuse new work),
            accept_while_leaving (say so and go on), load (change to `weight_version`
            after `seconds`), none (end all).
    """

    model_config = ConfigDict(extra="forbid")

    kind: FaultKind
    seconds: float = Field(default=1.0, ge=0, le=3600)
    share: float = Field(default=0.2, ge=0, le=1)
    weight_version: str = ""
