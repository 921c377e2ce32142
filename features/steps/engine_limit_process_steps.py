"""Steps on limits that engines name, with nodes as separate processes."""

import asyncio
import time

from behave import then, when

# A header that nodes pass on: it tells an engine which node a request came through.
NODE_HEADER = "X-Sent-Through"
SERVED, UNAVAILABLE = 200, 503
WINDOW_S = 4.0
# Nodes have to keep to a limit this long after they passed on an answer that names it.
KNOWN_AFTER_S = 0.5
# And all of them this long after it was first named.
SETTLED_AFTER_S = 1.0
# Requests that an engine may get at once, and what permits may be late.
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
    "an engine of each kind turns away {share:d} of 10 requests,"
    " and names a limit of {limit} a second as it does"
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


@when("their records go for {seconds:g} s and are back")
def step_records_go(context, seconds):
    for engine in context.limited:
        context.deployment.store.remove(f"servers/{engine.engine_id}")
    context.run(asyncio.sleep(seconds))
    for engine in context.limited:
        context.deployment.record(engine)


def known_since(engine):
    """Return since when each node has passed on an answer that names a limit."""
    since = {}
    for arrival in engine.arrivals:
        if arrival.limit and arrival.answered_at is not None:
            node = arrival.headers[NODE_HEADER]
            since[node] = min(since.get(node, arrival.answered_at), arrival.answered_at)
    return since


def counted(context, engine):
    """Return when requests arrived from nodes that knew of the limit."""
    since = known_since(engine)
    assert since, "no answer named a limit"
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
def step_kept(context):
    for engine in context.limited:
        limit = float(engine.limit)
        most = most_in_window(counted(context, engine), WINDOW_S)
        allowed = limit * (WINDOW_S + LATENESS_S) + BURST
        assert most <= allowed, f"{engine.engine_id}: {most} in {WINDOW_S} s; {allowed} allowed"


@then("nodes that know the limit sent such an engine together no more than the rule allows")
def step_rule_kept(context):
    for engine in context.limited:
        most = most_in_window(counted(context, engine), WINDOW_S)
        bound = 1.5 * float(engine.limit) * WINDOW_S + 5
        assert most <= bound, f"{engine.engine_id}: {most} in {WINDOW_S} s; {bound} allowed"


@then("those that were refused were told when to come back, after {seconds:g} s at most")
def step_refused(context, seconds):
    calls = [call for call in context.callers.calls if call.at > context.said_at]
    refused = [call for call in calls if call.status != SERVED]
    assert refused, "nobody was refused"
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
