"""One checker per promise. Each reads the history only, never the nodes' own opinion."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from liftrill.bench.faults.observations import RunHistory
from liftrill.bench.history import STREAM_ENDED_SILENTLY

LEAVING_GRACE_SECONDS = 2.0
RESTART_LIMIT_SECONDS = 10.0
CONFLICT_CODE = 4003


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a checker found.

    Attributes:
        checked: how many events it judged; a promise with none was not tested.
    """

    promise: str
    checked: int
    violations: list[str]


def check_cache_scope(history: RunHistory) -> Verdict:
    """Check that no other tenant's, weights' or dead incarnation's cache was relied on."""
    violations: list[str] = []
    for reuse in history.reuses:
        for user, weight_version in reuse["origins"]:
            if user != reuse["reused_by"] or weight_version != reuse["weight_version"]:
                violations.append(f"{reuse['reused_by']} used blocks of {user}/{weight_version}")
    for row in history.executions:
        expected = row["expected_incarnation"]
        if expected != row["incarnation"]:
            violations.append(f"{row['request_id']} ran on another incarnation than expected")
    return Verdict("cache scope", len(history.reuses) + len(history.executions), violations)


def check_streams(history: RunHistory) -> Verdict:
    """Check that every answer is complete and in order, or ends in an explicit error."""
    violations = [
        f"request {call.number}: {problem}"
        for call in history.calls
        for problem in call.problems
        if problem == STREAM_ENDED_SILENTLY or "cut short" in problem or "beginning" in problem
    ]
    return Verdict("complete streams", sum(1 for c in history.calls if c.status), violations)


def check_own_answers(history: RunHistory) -> Verdict:
    """Check that every caller gets the answer to its own request."""
    violations = [
        f"request {call.number}: {problem}"
        for call in history.calls
        for problem in call.problems
        if "another request" in problem
    ]
    return Verdict("own answers", sum(1 for c in history.calls if c.text), violations)


def check_not_run(history: RunHistory) -> Verdict:
    """Check that a request that was told not run has no execution.

    A key that was told not run must have none until then; its caller may send it again,
    and that submission may run.
    """
    executed = {row["request_id"] for row in history.executions}
    first_run = _first_run_of_keys(history)
    told = [call for call in history.calls if call.execution == "not-run"]
    violations = [
        f"request {call.number} was told not run ({call.code}) and ran"
        for call in told
        if call.request_id in executed
        or first_run.get(call.idempotency_key, call.answered_at_unix) < call.answered_at_unix
    ]
    return Verdict("not run means not run", len(told), violations)


def _first_run_of_keys(history: RunHistory) -> dict[str, float]:
    """Return when each key first ran, in Unix seconds."""
    first_run: dict[str, float] = {}
    for row in history.executions:
        key = row["idempotency_key"]
        if key:
            first_run[key] = min(row["at"], first_run.get(key, row["at"]))
    return first_run


def check_at_most_once(history: RunHistory) -> Verdict:
    """Check that a key runs at most once."""
    counts = Counter(r["idempotency_key"] for r in history.executions if r["idempotency_key"])
    violations = [f"key {key} ran {count} times" for key, count in counts.items() if count > 1]
    keys = {call.idempotency_key for call in history.calls if call.idempotency_key}
    return Verdict("at most once", len(keys), violations)


def check_leaving(history: RunHistory) -> Verdict:
    """Check that a leaving engine gets no new work after the grace time."""
    violations: list[str] = []
    for mark in history.leaving_marks:
        late = [
            row
            for row in history.executions
            if row["engine_id"] == mark.engine_id
            and mark.at + LEAVING_GRACE_SECONDS < row["at"] < mark.until
        ]
        violations.extend(
            f"{mark.engine_id} got {row['request_id']} {row['at'] - mark.at:.1f} s after leaving"
            for row in late
        )
    return Verdict("leaving engines", len(history.leaving_marks), violations)


def check_planned_stops(history: RunHistory) -> Verdict:
    """Check that a planned stop cuts off nothing: the node says so and exits with 0."""
    violations = [
        f"{stop.node} exited with {stop.exit_code}"
        for stop in history.planned_stops
        if stop.exit_code != 0
    ]
    stopped = {stop.node for stop in history.planned_stops}
    violations.extend(
        f"request {call.number} at {call.node} was cut off: {call.transport_error}"
        for call in history.calls
        if call.node in stopped and call.cut_by_planned_stop
    )
    return Verdict("planned stops", len(history.planned_stops), violations)


def check_restarts(history: RunHistory) -> Verdict:
    """Check that a restarted node serves at once."""
    violations = [
        f"{start.node} first answered after {start.seconds_to_first_answer} s"
        for start in history.node_starts
        if start.seconds_to_first_answer is None
        or start.seconds_to_first_answer > RESTART_LIMIT_SECONDS
    ]
    return Verdict("restarts", len(history.node_starts), violations)


def check_configuration(history: RunHistory) -> Verdict:
    """Check that what was confirmed is in force everywhere and was not taken back."""
    violations = [*_reverted(history), *_lost(history), *_told_wrongly(history)]
    checked = len(history.samples) + len(history.confirmations)
    return Verdict("configuration", checked, violations)


def _reverted(history: RunHistory) -> list[str]:
    highest: dict[tuple[str, int], int] = {}
    violations: list[str] = []
    for sample in history.samples:
        key = (sample.node, sample.start_count)
        if sample.generation < highest.get(key, 0):
            violations.append(f"{sample.node} went back to generation {sample.generation}")
        highest[key] = max(highest.get(key, 0), sample.generation)
    return violations


def _lost(history: RunHistory) -> list[str]:
    newest = max((c.generation for c in history.confirmations if c.code == 0), default=0)
    return [
        f"{node} ended at generation {generation}, confirmed was {newest}"
        for node, generation in history.final_generations.items()
        if generation < newest
    ]


def _told_wrongly(history: RunHistory) -> list[str]:
    violations: list[str] = []
    for node, summaries in history.confirmation_summaries.items():
        for confirmation in history.confirmations:
            is_there = any(f"tenants {confirmation.tenant}:" in line for line in summaries)
            if confirmation.code == 0 and not is_there:
                violations.append(f"{node} lacks the confirmed {confirmation.tenant}")
            if confirmation.code == CONFLICT_CODE and is_there:
                violations.append(f"{node} has {confirmation.tenant}, told as a conflict")
    return violations


CHECKERS: tuple[Callable[[RunHistory], Verdict], ...] = (
    check_cache_scope,
    check_streams,
    check_restarts,
    check_own_answers,
    check_not_run,
    check_at_most_once,
    check_leaving,
    check_planned_stops,
    check_configuration,
)


def check_all(history: RunHistory) -> list[Verdict]:
    """Return the verdict of every checker."""
    return [checker(history) for checker in CHECKERS]
