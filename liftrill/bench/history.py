"""What callers saw, one record a request, and checks of single answers."""

from dataclasses import dataclass, field

from liftrill.emulator.engine_model import expected_output

STREAM_ENDED_SILENTLY = "stream ended without an end mark or an error"
NO_EXECUTION = "answer does not say whether the request was run"


@dataclass(slots=True)
class CallRecord:
    """One request as its caller saw it. Times are seconds on the caller's monotonic clock.

    Attributes:
        answered_at_unix: Unix time of the answer, to compare with the engines' journals.
        execution: what the answer said: not-run, ran or unknown; empty without an answer.
        text: all output received.
        reusable_tokens: prompt tokens that an unlimited cache would have had.
        problems: what was wrong with the answer.
    """

    number: int
    node: str
    tenant: str
    workload: str
    idempotency_key: str
    sent_at: float
    request_id: str = ""
    status: int = 0
    code: int = 0
    execution: str = ""
    weight_version: str = ""
    text: str = ""
    first_token_at: float | None = None
    ended_at: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    reusable_tokens: int = 0
    complete: bool = False
    transport_error: str = ""
    retry_after: str = ""
    answered_at_unix: float = 0.0
    cut_by_planned_stop: bool = False
    submission: int = 0
    problems: list[str] = field(default_factory=list)

    @property
    def outcome(self) -> str:
        """The outcome for a summary."""
        if self.complete:
            return "ran"
        if self.transport_error:
            return "no answer"
        return self.execution or "no answer"


def check_complete_answer(record: CallRecord, prompt: str, tokens: int) -> None:
    """Note what is wrong with an answer that claims to be complete."""
    expected = expected_output(record.weight_version, prompt.encode(), tokens)
    if record.text == expected:
        return
    if expected.startswith(record.text):
        record.problems.append("answer is cut short")
    else:
        record.problems.append("answer belongs to another request, is out of order, or mixed")


def check_partial_answer(record: CallRecord, prompt: str, versions: list[str]) -> None:
    """Note a part of an answer that is not a correct beginning under any weight version."""
    tokens = len(record.text) // 4
    beginnings = [expected_output(version, prompt.encode(), tokens) for version in versions]
    if record.text and record.text not in beginnings:
        record.problems.append("partial answer is not a beginning of the right one")
