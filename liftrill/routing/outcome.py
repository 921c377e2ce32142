"""The outcome of a request: completed, not run, or unknown.

The outcome "not run" requires a proof, and only an `AttemptLedger` issues proofs. It issues one
when every attempt is known not to have run, and accepts no new attempt from then on.
"""

from dataclasses import dataclass
from enum import Enum, auto

from liftrill.errors import Execution, LiftrillError, RequestError, ResultCode
from liftrill.mechanisms import Mechanism, is_enabled


class LedgerError(LiftrillError):
    """A call violated the rules of the attempt ledger, which is a bug in the calling code."""


class AttemptState(Enum):
    """Whether an attempt may have run."""

    POSSIBLY_RUN = auto()
    NOT_RUN = auto()


class NotRunProof:
    """Proof that no attempt of a request can have run. Only `AttemptLedger` issues it."""

    __slots__ = ("ledger",)

    def __init__(self, ledger: "AttemptLedger") -> None:
        if not ledger.sealed:
            raise LedgerError("a proof requires a sealed ledger")
        self.ledger = ledger


class AttemptLedger:
    """Records the attempts of one request and whether each may have run."""

    __slots__ = ("_attempts", "sealed")

    def __init__(self) -> None:
        self._attempts: dict[str, AttemptState] = {}
        self.sealed = False

    def __len__(self) -> int:
        return len(self._attempts)

    @property
    def possibly_run_attempts(self) -> int:
        """The number of attempts that may have run."""
        return sum(s is AttemptState.POSSIBLY_RUN for s in self._attempts.values())

    def begin(self, attempt_id: str) -> None:
        """Record an attempt; must be called before its first byte is sent."""
        if self.sealed:
            raise LedgerError(
                f"cannot begin attempt {attempt_id}: the request was declared not run"
            )
        if attempt_id in self._attempts:
            raise LedgerError(f"attempt {attempt_id} has already begun")
        self._attempts[attempt_id] = AttemptState.POSSIBLY_RUN

    def record_not_run(self, attempt_id: str) -> None:
        """Record that an attempt was not run: its engine said so or could not be reached."""
        if attempt_id not in self._attempts:
            raise LedgerError(f"attempt {attempt_id} has not begun")
        self._attempts[attempt_id] = AttemptState.NOT_RUN

    def seal_if_not_run(self) -> NotRunProof | None:
        """Return a proof if no attempt can have run; no attempt can begin afterwards."""
        possibly_run = AttemptState.POSSIBLY_RUN in self._attempts.values()
        if possibly_run and is_enabled(Mechanism.ATTEMPT_LEDGER):
            return None
        self.sealed = True
        return NotRunProof(self)


class NotRunError(RequestError):
    """The request was refused and no attempt of it can have run."""

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
    """Return the error for a request that was refused before its first attempt."""
    proof = AttemptLedger().seal_if_not_run()
    assert proof is not None
    return NotRunError(proof, code, detail, retry_after_seconds)


@dataclass(frozen=True, slots=True)
class Completed:
    """The request was completed."""

    engine_id: str
    weight_version: str
    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class Failed:
    """The request failed with an error, which states whether the request may have run."""

    error: RequestError


Outcome = Completed | Failed
