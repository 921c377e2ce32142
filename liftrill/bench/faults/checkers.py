"""One checker for each guarantee.

A checker reads only the recorded history of a run and does not rely on a node's own assessment.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from liftrill.bench.faults.observations import RunHistory
from liftrill.bench.history import STREAM_NOT_TERMINATED

LEAVING_GRACE_SECONDS = 2.0
RESTART_LIMIT_SECONDS = 10.0
CONFLICT_CODE = 4003


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a checker.

    Attributes:
        promise: name of the guarantee.
        checked: number of events that were checked; 0 means that the guarantee was not tested.
    """

    promise: str
    checked: int
    violations: list[str]


def check_cache_scope(history: RunHistory) -> Verdict:
    """Check that no request used cache of another tenant, weight version or engine incarnation."""
    violations: list[str] = []
    for reuse in history.reuses:
        for user, weight_version in reuse["origins"]:
            if user != reuse["reused_by"] or weight_version != reuse["weight_version"]:
                violations.append(f"{reuse['reused_by']} used blocks of {user}/{weight_version}")
    for row in history.executions:
        expected = row["expected_incarnation"]
        if expected != row["incarnation"]:
            violations.append(
                f"{row['request_id']} ran on incarnation {row['incarnation']}, expected {expected}"
            )
    return Verdict("cache scope", len(history.reuses) + len(history.executions), violations)


def check_streams(history: RunHistory) -> Verdict:
    """Check that each response is complete and in order, or ends with an explicit error."""
    violations = [
        f"request {call.number}: {problem}"
        for call in history.calls
        for problem in call.problems
        if problem == STREAM_NOT_TERMINATED or "cut short" in problem or "beginning" in problem
    ]
    return Verdict("complete streams", sum(1 for c in history.calls if c.status), violations)


def check_own_answers(history: RunHistory) -> Verdict:
    """Check that each caller receives the response to its own request."""
    violations = [
        f"request {call.number}: {problem}"
        for call in history.calls
        for problem in call.problems
        if "another request" in problem
    ]
    return Verdict("own answers", sum(1 for c in history.calls if c.text), violations)


def check_not_run(history: RunHistory) -> Verdict:
    """Check that a request reported as not run was not executed.

    An idempotency key must have no execution before the response that reports not run. The
    caller may submit the key again, and a later submission may run.
    """
    executed = {row["request_id"] for row in history.executions}
    first_executions = _first_executions(history)
    reported_not_run = [call for call in history.calls if call.execution == "not-run"]
    violations = [
        f"request {call.number} was reported as not run (code {call.code}) but ran"
        for call in reported_not_run
        if call.request_id in executed
        or first_executions.get(call.idempotency_key, call.answered_at_unix) < call.answered_at_unix
    ]
    return Verdict("not run means not run", len(reported_not_run), violations)


def _first_executions(history: RunHistory) -> dict[str, float]:
    """Return the time of the first execution of each idempotency key, in Unix seconds."""
    first_executions: dict[str, float] = {}
    for row in history.executions:
        key = row["idempotency_key"]
        if key:
            first_executions[key] = min(row["at"], first_executions.get(key, row["at"]))
    return first_executions


def check_at_most_once(history: RunHistory) -> Verdict:
    """Check that each idempotency key is executed at most once."""
    counts = Counter(r["idempotency_key"] for r in history.executions if r["idempotency_key"])
    violations = [
        f"idempotency key {key} ran {count} times" for key, count in counts.items() if count > 1
    ]
    keys = {call.idempotency_key for call in history.calls if call.idempotency_key}
    return Verdict("at most once", len(keys), violations)


def check_leaving(history: RunHistory) -> Verdict:
    """Check that a leaving engine receives no new request after the grace period."""
    violations: list[str] = []
    for mark in history.leaving_marks:
        late_executions = [
            row
            for row in history.executions
            if row["engine_id"] == mark.engine_id
            and mark.at + LEAVING_GRACE_SECONDS < row["at"] < mark.until
        ]
        violations.extend(
            f"{mark.engine_id} received {row['request_id']} {row['at'] - mark.at:.1f} s"
            " after it was marked as leaving"
            for row in late_executions
        )
    return Verdict("leaving engines", len(history.leaving_marks), violations)


def check_planned_stops(history: RunHistory) -> Verdict:
    """Check that a planned stop interrupts no request and that the node exits with code 0."""
    violations = [
        f"{stop.node} exited with code {stop.exit_code} after a planned stop"
        for stop in history.planned_stops
        if stop.exit_code != 0
    ]
    stopped = {stop.node for stop in history.planned_stops}
    violations.extend(
        f"request {call.number} on {call.node} was interrupted: {call.transport_error}"
        for call in history.calls
        if call.node in stopped and call.cut_by_planned_stop
    )
    return Verdict("planned stops", len(history.planned_stops), violations)


def check_restarts(history: RunHistory) -> Verdict:
    """Check that a restarted node answers a request within the time limit."""
    violations = [
        f"{start.node} answered its first request after {start.seconds_to_first_answer} s"
        for start in history.node_starts
        if start.seconds_to_first_answer is None
        or start.seconds_to_first_answer > RESTART_LIMIT_SECONDS
    ]
    return Verdict("restarts", len(history.node_starts), violations)


def check_configuration(history: RunHistory) -> Verdict:
    """Check that confirmed configuration is in force on every node and was not reverted."""
    violations = [
        *_reverted_generations(history),
        *_missing_generations(history),
        *_wrong_confirmation_responses(history),
    ]
    checked = len(history.samples) + len(history.confirmations)
    return Verdict("configuration", checked, violations)


def _reverted_generations(history: RunHistory) -> list[str]:
    highest: dict[tuple[str, int], int] = {}
    violations: list[str] = []
    for sample in history.samples:
        key = (sample.node, sample.start_count)
        if sample.generation < highest.get(key, 0):
            violations.append(f"{sample.node} reverted to generation {sample.generation}")
        highest[key] = max(highest.get(key, 0), sample.generation)
    return violations


def _missing_generations(history: RunHistory) -> list[str]:
    newest = max((c.generation for c in history.confirmations if c.code == 0), default=0)
    return [
        f"{node} ended at generation {generation}, but {newest} was confirmed"
        for node, generation in history.final_generations.items()
        if generation < newest
    ]


def _wrong_confirmation_responses(history: RunHistory) -> list[str]:
    violations: list[str] = []
    for node, summaries in history.confirmation_summaries.items():
        for confirmation in history.confirmations:
            is_listed = any(f"tenants {confirmation.tenant}:" in line for line in summaries)
            if confirmation.code == 0 and not is_listed:
                violations.append(f"{node} lacks tenant {confirmation.tenant}, which was confirmed")
            if confirmation.code == CONFLICT_CODE and is_listed:
                violations.append(
                    f"{node} has tenant {confirmation.tenant}, which was reported as a conflict"
                )
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
    """Return the verdicts of all checkers."""
    return [checker(history) for checker in CHECKERS]
