"""Reads a gateway's log lines again and tells the story of one request."""

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from liftrill.gateway.decision_log import MESSAGE_PREFIX

# How long before and after an attempt a belief about its engine belongs to its story.
BELIEF_WINDOW_SECONDS = 6.0
ENGINE_KINDS = frozenset({"engine", "engine_gone", "order", "weights_reached"})
NODE_KINDS = frozenset(
    {"configuration", "store", "started", "stopping", "leading", "not_leading", "quota_limited"}
)
ENDINGS = frozenset({"request", "refused"})

CAUSES = {
    "MALFORMED_REQUEST": "the request did not keep to the protocol",
    "BODY_TOO_LARGE": "the body was over the limit of the configuration",
    "UNKNOWN_ROUTE": "no route of the configuration in force has its host and path",
    "INVALID_API_KEY": "no tenant of the configuration in force holds its key",
    "NO_CONFIGURATION": "the node had no configuration yet",
    "NODE_DRAINING": "the node was about to end and took no more requests",
    "KEY_NOT_PROVEN": "the store had not answered for too long to know that the key still holds",
    "NO_ELIGIBLE_ENGINE": "no engine of the service was free to take it in time",
    "ENGINES_REFUSED": "every engine that was asked refused without running it",
    "ENGINES_FULL": "so much waited at all engines that none would have answered in time",
    "QUOTA_EXCEEDED": "its tenant had used what its limit allows over all nodes",
    "RETRY_BUDGET_EXHAUSTED": "the budget of repeats was used up",
    "ENGINE_LOST": "the connection to the engine broke after the request was sent",
    "STREAM_INTERRUPTED": "the stream broke, and it may not go on elsewhere",
    "DEADLINE_UNREACHABLE": "its time was over before an engine could take it",
    "INTERNAL_ERROR": "the node failed in a way it did not foresee: a defect",
    "DEADLINE_PASSED": "its time was over while an engine had it",
}


# From here on a status is an engine's failure.
FIRST_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Attributes:
        at: time of day, seconds.
        kind: what the line tells, without the project's prefix.
    """

    at: float
    node: str
    kind: str
    fields: dict[str, Any]

    def text(self, origin: float) -> str:
        """Return the line for a reader, with its time since an origin."""
        told = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at - origin:+9.3f} s  {self.node:<24} {self.kind:<16} {told}"


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the lines of this project among some text, in order of time.

    Whatever stands before the first brace, such as a collector's own stamp, is passed over.
    """
    found = [line for text in texts if (line := _parse(text)) is not None]
    return sorted(found, key=lambda line: line.at)


def explain(lines: list[LogLine], request_id: str) -> list[str]:
    """Return the story of one request: its lines, what was believed, and the cause."""
    own = [line for line in lines if line.fields.get("request") == request_id]
    if not own:
        return [f"no line tells of {request_id}: it went well and was left out, or came elsewhere"]
    related = [line for line in lines if line in own or _bears_on(line, own)]
    story = [line.text(own[0].at) for line in related]
    return [*story, f"cause: {_cause(own)}"]


def summarize(lines: list[LogLine]) -> list[str]:
    """Return counts of how requests ended, most frequent first."""
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


def _bears_on(line: LogLine, own: list[LogLine]) -> bool:
    if not own[0].at - BELIEF_WINDOW_SECONDS <= line.at <= own[-1].at + BELIEF_WINDOW_SECONDS:
        return False
    nodes = {told.node for told in own}
    engines = {told.fields.get("engine") for told in own} - {None, ""}
    if line.kind in ENGINE_KINDS:
        in_order = line.kind in ("order", "weights_reached")
        return line.fields.get("engine") in engines and (in_order or line.node in nodes)
    return line.kind in NODE_KINDS and line.node in nodes


def _cause(own: list[LogLine]) -> str:
    ended = [line for line in own if line.kind in ENDINGS]
    if not ended:
        return "its end is not told: the process ended first, or the line was left out"
    last = ended[-1].fields
    outcome = last.get("outcome", "refused")
    if outcome == "served" and int(last.get("status") or 0) >= FIRST_SERVER_ERROR:
        engines = [line.fields["engine"] for line in own if line.kind == "retried"]
        return f"{last['attempts']} engines failed it, the last one {last['engine']} with " + (
            f"status {last['status']}"
            + (f" (sent again to {', '.join(engines)})" if engines else "")
        )
    if outcome == "served":
        return f"served{_pauses(last)}"
    if outcome == "caller_gone":
        return f"its caller left before the end{_pauses(last)}"
    reason = CAUSES.get(str(last.get("code")), "not known to this version")
    attempts = [line.fields["outcome"] for line in own if line.kind == "attempt_failed"]
    return f"{reason} ({', '.join(attempts)})" if attempts else reason


def _pauses(fields: dict[str, Any]) -> str:
    """Return when the events of a stream came, which is what makes it late."""
    if "first_event_ms" not in fields:
        return ""
    told = f", its first event after {fields['first_event_ms']} ms"
    after = fields["longest_pause_after"]
    if after is None:
        return told
    return f"{told}, its longest pause {fields['longest_pause_ms']} ms after event {after}"
