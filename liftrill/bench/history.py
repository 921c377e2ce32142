"""Records of requests as their callers observed them, and checks of single responses."""

from dataclasses import dataclass, field

from liftrill.emulator.engine_model import expected_output

STREAM_NOT_TERMINATED = "stream ended without [DONE] or an error"
EXECUTION_MISSING = "response does not state whether the request was executed"


@dataclass(slots=True)
class CallRecord:
    """A request as its caller observed it. Times are seconds on the caller's monotonic clock.

    Attributes:
        status: HTTP status, or 0 without a response.
        code: result code of an error, or 0.
        execution: execution state in the response: not-run, ran or unknown; empty without a
            response.
        text: all output that was received.
        reusable_tokens: prompt tokens that an unlimited cache would have contained.
        answered_at_unix: Unix time of the end of the response, comparable with the journals
            of the engines.
        cut_by_planned_stop: whether a planned stop of the node interrupted the request.
        submission: index of the submission, if the request was submitted several times.
        problems: violations that the checks found in the response.
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
        """The outcome as counted in a summary."""
        if self.complete:
            return "ran"
        if self.transport_error:
            return "no answer"
        return self.execution or "no answer"


def check_complete_answer(record: CallRecord, prompt: str, tokens: int) -> None:
    """Record a problem if the output of a complete response differs from the expected output."""
    expected = expected_output(record.weight_version, prompt.encode(), tokens)
    if record.text == expected:
        return
    if expected.startswith(record.text):
        record.problems.append("answer is cut short")
    else:
        record.problems.append(
            "answer belongs to another request, is out of order or mixes several answers"
        )


def check_partial_answer(record: CallRecord, prompt: str, versions: list[str]) -> None:
    """Record a problem if a partial output is no prefix of the output under any weight version."""
    tokens = len(record.text) // 4
    expected_prefixes = [expected_output(version, prompt.encode(), tokens) for version in versions]
    if record.text and record.text not in expected_prefixes:
        record.problems.append("partial answer is not a beginning of the expected answer")
