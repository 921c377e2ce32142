"""How a request ends: not run, ran, or unknown.

"Not run" can only be said with a proof, and only an `AttemptLedger` issues proofs: it
does so when every attempt was refuted, and from then on it refuses new attempts.
"""

from dataclasses import dataclass
from enum import Enum, auto

from liftrill.errors import Execution, LiftrillError, RequestError, ResultCode
from liftrill.mechanisms import Mechanism, is_enabled


class LedgerError(LiftrillError):
    """The ledger was used against its rules; this is a defect of the caller."""


class AttemptState(Enum):
    """What is known of one attempt."""

    POSSIBLY_RUN = auto()
    REFUTED = auto()


class NotRunProof:
    """Proof that no attempt of a request can have begun. Issued by `AttemptLedger` only."""

    __slots__ = ("ledger",)

    def __init__(self, ledger: "AttemptLedger") -> None:
        if not ledger.sealed:
            raise LedgerError("a proof can only come from a sealed ledger")
        self.ledger = ledger


class AttemptLedger:
    """The attempts of one request."""

    __slots__ = ("_attempts", "sealed")

    def __init__(self) -> None:
        self._attempts: dict[str, AttemptState] = {}
        self.sealed = False

    def __len__(self) -> int:
        return len(self._attempts)

    @property
    def possibly_run_attempts(self) -> int:
        """How many attempts may have run."""
        return sum(s is AttemptState.POSSIBLY_RUN for s in self._attempts.values())

    def begin(self, attempt_id: str) -> None:
        """Record an attempt before its first byte is sent."""
        if self.sealed:
            raise LedgerError("the request was already declared not run")
        if attempt_id in self._attempts:
            raise LedgerError(f"attempt {attempt_id} was begun before")
        self._attempts[attempt_id] = AttemptState.POSSIBLY_RUN

    def record_not_run(self, attempt_id: str) -> None:
        """Record that the engine said it did not run an attempt, or was never reached."""
        if attempt_id not in self._attempts:
            raise LedgerError(f"attempt {attempt_id} is not known")
        self._attempts[attempt_id] = AttemptState.REFUTED

    def seal_if_not_run(self) -> NotRunProof | None:
        """Return a proof if every attempt was refuted; no attempt can begin afterwards."""
        possibly_run = AttemptState.POSSIBLY_RUN in self._attempts.values()
        if possibly_run and is_enabled(Mechanism.ATTEMPT_LEDGER):
            return None
        self.sealed = True
        return NotRunProof(self)


class NotRunError(RequestError):
    """The request was refused and no attempt of it can have begun."""

    execution = Execution.NOT_RUN

    def __init__(
        self,
        proof: NotRunProof,
        code: ResultCode,
        detail: str = "",
        retry_after_seconds: float | None = None,
    ) -> None:
        self.proof = proof
        super().__init__(code, detail, retry_after_seconds)


def unattempted_refusal(
    code: ResultCode, detail: str = "", retry_after_seconds: float | None = None
) -> NotRunError:
    """Return the refusal of a request for which nothing was attempted."""
    proof = AttemptLedger().seal_if_not_run()
    assert proof is not None
    return NotRunError(proof, code, detail, retry_after_seconds)


@dataclass(frozen=True, slots=True)
class Completed:
    """The request ran to its end."""

    engine_id: str
    weight_version: str
    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ended in an error, which says whether it was run."""

    error: RequestError


Outcome = Completed | Failed
