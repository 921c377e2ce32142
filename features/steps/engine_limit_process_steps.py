"""Steps on rate limits that engines name, with nodes as separate processes."""

import asyncio
import time

from behave import then, when

# A header that nodes forward, by which an engine sees the node that sent a request.
NODE_HEADER = "X-Sent-Through"
SERVED, UNAVAILABLE = 200, 503
WINDOW_S = 4.0
# A node has to keep a limit from this time after it forwarded an answer that names it.
KNOWN_AFTER_S = 0.5
# All nodes have to keep it from this time after it was first forwarded.
SETTLED_AFTER_S = 1.0
# Requests that an engine may get at once, and the longest delay of a permit.
BURST, LATENESS_S = 2, 1.0


@when("an engine of each kind names a limit of {limit} a second in its answers")
def step_name_limit(context, limit):
    engines = context.deployment.engines.values()
    kinds = [[e for e in engines if e.service == service] for service in ("desk", "llm")]
    context.limited = [max(kind, key=lambda engine: len(engine.arrivals)) for kind in kinds]
    for engine in context.limited:
        engine.limit = limit
    context.said_at = time.monotonic()


@when(
    "an engine of each kind refuses {share:d} of 10 requests,"
    " and names a limit of {limit} a second in the refusals"
)
def step_name_in_refusals(context, share, limit):
    step_name_limit(context, limit)
    for engine in context.limited:
        engine.refused_of_ten, engine.limit_in = share, frozenset(("refusal",))


@when("all engines name a limit of {limit} a second in their answers")
def step_all_name(context, limit):
    context.limited = list(context.deployment.engines.values())
    for engine in context.limited:
        engine.limit = limit
    context.said_at = time.monotonic()


@when("their records are removed for {seconds:g} s and written again")
def step_records_removed(context, seconds):
    for engine in context.limited:
        context.deployment.store.remove(f"servers/{engine.engine_id}")
    context.run(asyncio.sleep(seconds))
    for engine in context.limited:
        context.deployment.record(engine)


def first_forwarded(engine):
    """Return when each node first forwarded an answer that names a limit."""
    since = {}
    for arrival in engine.arrivals:
        if arrival.limit and arrival.answered_at is not None:
            node = arrival.headers[NODE_HEADER]
            since[node] = min(since.get(node, arrival.answered_at), arrival.answered_at)
    return since


def arrivals_under_limit(context, engine):
    """Return the arrival times of requests from nodes that knew the limit."""
    since = first_forwarded(engine)
    assert since, f"no answer of {engine.engine_id} named a limit"
    settled_at = min(since.values()) + SETTLED_AFTER_S
    return [
        arrival.at
        for arrival in engine.arrivals
        if arrival.at >= settled_at
        and arrival.at >= since.get(arrival.headers[NODE_HEADER], arrival.at) + KNOWN_AFTER_S
    ]


def most_in_window(times, window_s):
    return max((sum(t <= at < t + window_s for at in times) for t in times), default=0)


@then("nodes that know the limit sent such an engine together no more than it allows")
def step_within_limit(context):
    for engine in context.limited:
        limit = float(engine.limit)
        most = most_in_window(arrivals_under_limit(context, engine), WINDOW_S)
        allowed = limit * (WINDOW_S + LATENESS_S) + BURST
        assert most <= allowed, f"{engine.engine_id}: {most} in {WINDOW_S} s; {allowed} allowed"


@then("nodes that know the limit sent such an engine together no more than the rule allows")
def step_within_rule(context):
    for engine in context.limited:
        most = most_in_window(arrivals_under_limit(context, engine), WINDOW_S)
        bound = 1.5 * float(engine.limit) * WINDOW_S + 5
        assert most <= bound, f"{engine.engine_id}: {most} in {WINDOW_S} s; {bound} allowed"


@then("those that were refused were told when to retry, after {seconds:g} s at most")
def step_refused(context, seconds):
    calls = [call for call in context.callers.calls if call.at > context.said_at]
    refused = [call for call in calls if call.status != SERVED]
    assert refused, "no caller was refused"
    for call in refused:
        assert call.status == UNAVAILABLE and call.retry_after_s, call
        assert call.ended_at - call.at < seconds + context.callers.longest_lag_s, call


@then("at least half of what it allows was used")
def step_used(context):
    for engine in context.limited:
        first, last = context.said_at + SETTLED_AFTER_S, time.monotonic()
        used = sum(first <= arrival.at < last for arrival in engine.arrivals)
        least = 0.5 * float(engine.limit) * (last - first) - 1
        assert used >= least, f"{engine.engine_id}: {used} used of {2 * least:.0f}"


@then("at least {share:g} of these callers were served")
def step_share_served(context, share):
    calls = [call for call in context.callers.calls if call.at > context.said_at]
    served = sum(call.status == SERVED for call in calls)
    assert served >= share * len(calls), (served, len(calls))
