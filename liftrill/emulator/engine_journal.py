"""The engine emulator's journal: a JSON line per event, flushed so that it survives SIGKILL."""

import time
from pathlib import Path
from typing import TextIO

import orjson

from liftrill.emulator.engine_messages import Generation
from liftrill.emulator.engine_schema import CompletionBody


class EngineJournal:
    """Writes the events that the checkers read; without a path it writes nothing."""

    def __init__(self, engine_id: str, path: Path | None) -> None:
        self._engine_id = engine_id
        self._file: TextIO | None = path.open("a") if path else None

    def close(self) -> None:
        """Close the journal file."""
        if self._file is not None:
            self._file.close()

    def record_execution(self, body: CompletionBody, incarnation: int, weight_version: str) -> None:
        """Record an accepted attempt, with the incarnation that it expects."""
        self._write(
            {
                "at": time.time(),
                "engine_id": self._engine_id,
                "incarnation": incarnation,
                "weight_version": weight_version,
                "request_id": body.request_id,
                "attempt_id": body.attempt_id,
                "start_index": body.start_index,
                "user": body.user,
                "expected_incarnation": body.incarnation,
                "idempotency_key": body.idempotency_key,
            }
        )

    def record_reuse(self, generation: Generation, weight_version: str) -> None:
        """Record the origins of the cached blocks that an attempt reused."""
        self._write(
            {
                "reused_by": generation.request.user,
                "weight_version": weight_version,
                "origins": [[o.user, o.weight_version] for o in generation.reused_origins],
            }
        )

    def _write(self, record: dict[str, object]) -> None:
        if self._file is not None:
            self._file.write(orjson.dumps(record).decode() + "\n")
            self._file.flush()
