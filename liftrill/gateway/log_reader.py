"""Reads a gateway's log lines, explains single requests and summarizes outcomes."""

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from liftrill.gateway.decision_log import MESSAGE_PREFIX

# State changes of an engine within this time of a request's lines are shown with the request.
RELATED_WINDOW_S = 6.0
ENGINE_KINDS = frozenset({"engine", "engine_gone", "order", "weights_reached"})
NODE_KINDS = frozenset(
    {"configuration", "store", "started", "stopping", "leading", "not_leading", "quota_limited"}
)
ENDINGS = frozenset({"request", "refused"})

CAUSES = {
    "MALFORMED_REQUEST": "the request violated the protocol",
    "BODY_TOO_LARGE": "the body exceeded the limit of the configuration",
    "UNKNOWN_ROUTE": "no route of the configuration in force matches the host and path",
    "INVALID_API_KEY": "no tenant of the configuration in force holds the key",
    "NO_CONFIGURATION": "the node had no configuration yet",
    "NODE_DRAINING": "the node was stopping and accepted no more requests",
    "KEY_NOT_PROVEN": "the store had not answered recently enough to prove the key still valid",
    "NO_ELIGIBLE_ENGINE": "no engine of the service became free in time",
    "ENGINES_REFUSED": "every engine that was asked refused without running the request",
    "ENGINES_FULL": "the queues of all engines were too long for an answer in time",
    "QUOTA_EXCEEDED": "the tenant had used up its limit over all nodes",
    "RETRY_BUDGET_EXHAUSTED": "the retry budget was used up",
    "ENGINE_LOST": "the connection to the engine broke after the request was sent",
    "STREAM_INTERRUPTED": "the stream broke and could not be resumed at another engine",
    "DEADLINE_UNREACHABLE": "the deadline passed before an engine could accept the request",
    "INTERNAL_ERROR": "the node failed with an unexpected error: a defect",
    "DEADLINE_PASSED": "the deadline passed while an engine had the request",
}


# Answers of an engine with this status or a higher one are failures.
FIRST_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Attributes:
        at: Unix time in seconds.
        kind: the message type without the project's prefix.
        fields: all other fields of the line.
    """

    at: float
    node: str
    kind: str
    fields: dict[str, Any]

    def text(self, origin: float) -> str:
        """Return the line as readable text, with its time relative to `origin`."""
        fields = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at - origin:+9.3f} s  {self.node:<24} {self.kind:<16} {fields}"


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines of this project among lines of text, in order of time.

    Text before the first brace, such as the timestamp of a log collector, is skipped.
    """
    found = [line for text in texts if (line := _parse(text)) is not None]
    return sorted(found, key=lambda line: line.at)


def explain(lines: list[LogLine], request_id: str) -> list[str]:
    """Return the timeline of one request: its lines, related state changes, and the cause."""
    own = [line for line in lines if line.fields.get("request") == request_id]
    if not own:
        return [
            f"no log lines for {request_id}:"
            " it succeeded and its line was left out, or another node received it"
        ]
    related = [line for line in lines if line in own or _is_related(line, own)]
    timeline = [line.text(own[0].at) for line in related]
    return [*timeline, f"cause: {_cause(own)}"]


def summarize(lines: list[LogLine]) -> list[str]:
    """Return the counts of request outcomes, most frequent first."""
    ended = Counter(
        (line.fields.get("outcome", line.kind), line.fields.get("code", ""))
        for line in lines
        if line.kind in ENDINGS
    )
    left_out = sum(line.fields.get("left_out", 0) for line in lines)
    rows = [f"{count:8d}  {outcome} {code}" for (outcome, code), count in ended.most_common()]
    return [*rows, f"{left_out:8d}  lines left out"]


def _parse(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        kind = str(fields.pop("message_type"))
        at = float(fields.pop("timestamp"))
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    if not kind.startswith(MESSAGE_PREFIX):
        return None
    for name in ("task_uuid", "task_level"):
        fields.pop(name, None)
    node = str(fields.pop("node", ""))
    return LogLine(at, node, kind.removeprefix(MESSAGE_PREFIX), fields)


def _is_related(line: LogLine, own: list[LogLine]) -> bool:
    if not own[0].at - RELATED_WINDOW_S <= line.at <= own[-1].at + RELATED_WINDOW_S:
        return False
    nodes = {own_line.node for own_line in own}
    engines = {own_line.fields.get("engine") for own_line in own} - {None, ""}
    if line.kind in ENGINE_KINDS:
        in_order = line.kind in ("order", "weights_reached")
        return line.fields.get("engine") in engines and (in_order or line.node in nodes)
    return line.kind in NODE_KINDS and line.node in nodes


def _cause(own: list[LogLine]) -> str:
    ended = [line for line in own if line.kind in ENDINGS]
    if not ended:
        return "unknown: the process ended first, or the line about the end was left out"
    last = ended[-1].fields
    outcome = last.get("outcome", "refused")
    if outcome == "served" and int(last.get("status") or 0) >= FIRST_SERVER_ERROR:
        engines = [line.fields["engine"] for line in own if line.kind == "retried"]
        return f"{last['attempts']} engines failed, the last one {last['engine']} with " + (
            f"status {last['status']}" + (f" (retried at {', '.join(engines)})" if engines else "")
        )
    if outcome == "served":
        return f"served{_pauses(last)}"
    if outcome == "caller_gone":
        return f"the caller left before the end{_pauses(last)}"
    reason = CAUSES.get(str(last.get("code")), "unknown result code")
    attempts = [line.fields["outcome"] for line in own if line.kind == "attempt_failed"]
    return f"{reason} ({', '.join(attempts)})" if attempts else reason


def _pauses(fields: dict[str, Any]) -> str:
    """Return the timing of a stream's events, which shows why a stream was late."""
    if "first_event_ms" not in fields:
        return ""
    first = f", first event after {fields['first_event_ms']} ms"
    after = fields["longest_pause_after"]
    if after is None:
        return first
    return f"{first}, longest pause {fields['longest_pause_ms']} ms after event {after}"
