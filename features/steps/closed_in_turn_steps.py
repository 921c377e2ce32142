"""Steps on answers that end with their connection, whose engine closes it before their end."""

from collections import Counter

from behave import given, then

from features.soak.fleet import now_unix_ms
from features.standin.engine_process import EngineProcess
from features.steps.lost_connection_steps import start_deployment
from features.steps.truncated_answer_steps import EVENTS, is_whole

# A sound engine closes a connection within this time after the last bytes.
PROMPT_MS = 15.0
# A close is comparable with those so long before it, and those so shortly after it.
BEFORE_S, AFTER_S = 0.25, 0.01
SHORT_EVENTS, SHORT_EVENT_S = 12, 0.02
# Callers wait for the end of a stream until its engine has answered.
MAX_GAP_S = 4.0
MS_PER_S = 1000


def closes(context, attempt_ids=None):
    """Return what nodes logged about closes, with their times, of some requests or of all."""
    rows = context.deployment.logged("response_closed")
    for row in rows:
        row["at"] = row["timestamp"] - row["waited_ms"] / MS_PER_S
    return [row for row in rows if attempt_ids is None or row["request"] in attempt_ids]


def early_streams(context):
    """Return the streams that look complete and are not, and print how all of them ended."""
    cut_short = {arrival.attempt_id for arrival in context.ended.cut_short}
    streams = context.callers.streams
    early = [s for s in streams if s.complete and s.last_event != EVENTS]
    print(
        f"{len(streams)} streams, {len(cut_short)} cut short, complete after "
        f"{[stream.last_event for stream in early]} of {EVENTS} events"
    )
    found = Counter(
        (row["evidence"], row["reply"], row["complete"]) for row in closes(context, cut_short)
    )
    print(f"closes by evidence, reply, complete: {dict(found)}")
    assert cut_short
    return early


@then("none of the streams that it cut short looks complete")
def step_none_early(context):
    early = early_streams(context)
    assert not early, f"{len(early)} streams end as complete before their last event"


def is_beside_late(row, rows):
    """Return whether a close came late, or shortly after or with a late one that its node saw."""
    return any(
        other["close_delay_ms"] > PROMPT_MS
        and other["node"] == row["node"]
        and other["engine"] == row["engine"]
        and row["at"] - BEFORE_S <= other["at"] <= row["at"] + AFTER_S
        for other in rows
    )


@then(
    "none of the streams that it cut short looks complete, but those that were closed right after"
    " their last bytes before their node saw another sign"
)
def step_none_known(context):
    early = early_streams(context)
    rows = closes(context)
    known = [
        row
        for stream in early
        for row in rows
        if row["request"] == stream.attempts[0].request_id and is_beside_late(row, rows)
    ]
    assert not known, known


@then("no other stream broke off")
def step_others(context):
    cut_short = {arrival.attempt_id for arrival in context.ended.cut_short}
    broken = [s.attempts[0].request_id for s in context.callers.streams if not is_whole(s)]
    others = [request for request in broken if request not in cut_short]
    print(f"{len(broken)} broke off, {len(others)} of them sound")
    assert not others, closes(context, others)


@then("{which} is whole")
def step_rerun(context, which):
    """Check that streams that may run again are whole; others are broken off."""
    broken = [s.attempts[0].request_id for s in context.callers.streams if not s.complete]
    assert which == "no further one" or not broken, closes(context, broken)


@given(
    "{count:d} model engines in processes of their own that close connections right after the"
    " last bytes, and whose reports take {seconds:g} s"
)
def step_sound(context, count, seconds):
    engine_ids = [f"llm-{number + 1}" for number in range(count)]
    start_deployment(
        context,
        engine_ids,
        nodes=2,
        kind=EngineProcess,
        events=SHORT_EVENTS,
        event_seconds=SHORT_EVENT_S,
        framing="connection",
        report_seconds=seconds,
        born_unix_ms=now_unix_ms(),
    )
    context.callers.max_gap_s = MAX_GAP_S


@then("all {count:d} streams end as complete after their last event")
def step_all_whole(context, count):
    streams = context.callers.streams
    broken = [s for s in streams if not (s.complete and s.last_event == SHORT_EVENTS)]
    ends = Counter((s.attempts[0].status, s.last_event) for s in broken)
    print(f"{len(broken)} of {len(streams)} broke off, by status and last event {dict(ends)}")
    assert len(streams) == count
    assert not broken, closes(context, {s.attempts[0].request_id for s in broken})


@then("99 of 100 ends of streams are delayed by {most_ms:g} ms at most")
def step_delay(context, most_ms):
    rows = closes(context)
    waited_ms = sorted(row["waited_ms"] for row in rows)
    delays_ms = sorted(row["close_delay_ms"] for row in rows)
    p50, p99 = (waited_ms[len(rows) * share // 100] for share in (50, 99))
    print(f"{len(rows)} ends, delayed by {p50} ms (p50), {p99} ms (p99), {waited_ms[-1]} ms")
    print(f"closed after the last bytes: {delays_ms[len(rows) // 2 :: len(rows) // 20]} ms")
    assert p99 <= most_ms, waited_ms[-20:]
