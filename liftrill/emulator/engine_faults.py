"""Faults that tests can inject into the engine emulator."""

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
    "unreported_load",
]


class EngineFault(BaseModel):
    """Body of `POST /admin/fault`.

    Attributes:
        kind: crash (lose all state, close all streams, start a new incarnation), freeze (no
            progress for `seconds`), cut_streams (close all streams, continue to run their
            requests), foreign_answers (for `seconds`, begin each stream with a chunk of
            another request), repeated_chunks (for `seconds`, send each chunk twice),
            event_loss (lose `share` of the cache events), leave (report as leaving and refuse
            new requests), accept_while_leaving (report as leaving but accept requests), load
            (switch to `weight_version` after `seconds`), unreported_load (like load, but report
            the earlier weights until an attempt arrives at the new ones), none (end freeze,
            foreign_answers, repeated_chunks, leave, accept_while_leaving and stale reports).
    """

    model_config = ConfigDict(extra="forbid")

    kind: FaultKind
    seconds: float = Field(default=1.0, ge=0, le=3600)
    share: float = Field(default=0.2, ge=0, le=1)
    weight_version: str = ""
