"""Requests as callers and engines saw them during a soak, and the guarantees checked on them."""

import math
import re
from dataclasses import dataclass

EVENT = re.compile(rb"id: (\d+)\ndata: (?:\S+ )?token (\d+)\n\n")
EVENT_VERSION = re.compile(rb"data: (\S+) token")
ONE_VERSION = "a stream goes on at one software version"
# The route of a request whose stream may begin, or go on, in another one.
RESUMED = "resumed"
NOT_RUN = (408, 421, 429, 503)
EVENTS_PER_STREAM = 4
# A request sent this shortly before the process exits may meet a connection that is closing.
EXIT_S = 0.1


@dataclass(frozen=True)
class Call:
    """One request as its caller saw it.

    Attributes:
        status: the HTTP status, or None if no response arrived.
        body: the received part of the response body.
        sent_at: in seconds of the monotonic clock.
        node: the node that got the request; no other node forwards it to engines.
        waited: whether the caller was connected and waited for the response.
    """

    request_id: str
    route: str
    key: str
    sent_at: float
    status: int | None
    body: bytes
    complete: bool
    node: str = ""
    sent_body: bytes = b""
    waited: bool = True


@dataclass(frozen=True)
class Bounds:
    """How long after the store accepted a change the old state may still be used.

    Attributes:
        revoke_s: how long a revoked API key may be served.
        drain_s: how long requests may arrive at an engine that left.
        version_s: how long requests may begin on replaced weights.
    """

    revoke_s: float
    drain_s: float
    version_s: float


@dataclass(frozen=True)
class Violation:
    """A guarantee that was violated."""

    guarantee: str
    request_id: str
    detail: str


def check(calls, engines, timeline, bounds):
    """Return every violation of a guarantee in a history."""
    runs = {}
    for engine in engines:
        for arrival in engine.arrivals:
            if arrival.ran:
                runs.setdefault(arrival.attempt_id, []).append((engine, arrival))
    known = {call.request_id: call for call in calls}
    found = [v for call in calls for v in _check_call(call, runs.get(call.request_id, []))]
    found += [v for call in calls for v in _check_stop(call, timeline)]
    found += [v for call in calls for v in _check_key(call, runs, timeline, bounds.revoke_s)]
    for request_id, of_id in runs.items():
        found += _check_runs(known.get(request_id), request_id, of_id)
    for engine in engines:
        found += _check_orders(engine)
        found += _check_drain(engine, known, timeline, bounds.drain_s)
        found += _check_version(engine, known, timeline, bounds.version_s)
    return found


def _check_call(call, runs):
    begun = [arrival for _, arrival in runs if "Kv-From" not in arrival.headers]
    if call.route in ("whole", "stream") and len(begun) > 1:
        yield Violation("at most once", call.request_id, f"begun {len(begun)} times")
    if call.status in NOT_RUN and runs:
        yield Violation(
            "not run means not run", call.request_id, f"status {call.status}, but it ran"
        )
    if call.status != 200 or call.route == RESUMED:
        return
    if call.route in ("whole", "safe"):
        expected = f"answer to {call.request_id}".encode()
        if call.complete and call.body != expected:
            yield Violation("own answer", call.request_id, repr(call.body[:60]))
        return
    yield from _check_stream(call)


def _check_stop(call, timeline):
    """Find requests that a node accepted after SIGTERM and did not answer before it exited."""
    if call.status is not None or not call.waited:
        return
    for stop in timeline.undisturbed_stops():
        if stop.node == call.node and stop.signalled_at <= call.sent_at < stop.exited_at - EXIT_S:
            left_s = stop.exited_at - call.sent_at
            yield Violation(
                "a node that stops answers", call.request_id, f"node exited {left_s:.2f} s later"
            )


def _check_stream(call):
    numbers = [int(number) for number, _ in EVENT.findall(call.body)]
    versions = set(EVENT_VERSION.findall(call.body))
    if len(versions) > 1:
        yield Violation(ONE_VERSION, call.request_id, f"events of {versions}")
    if numbers != list(range(1, len(numbers) + 1)):
        yield Violation("events in order", call.request_id, str(numbers))
    if call.complete and len(numbers) != EVENTS_PER_STREAM:
        yield Violation("a complete stream is whole", call.request_id, str(numbers))


def _check_key(call, runs, timeline, bound_s):
    since = timeline.revoked_at.get(call.key)
    if since is not None and call.sent_at > since + bound_s and call.request_id in runs:
        late_s = call.sent_at - since
        yield Violation(
            "a revoked key is not served", call.request_id, f"{late_s:.2f} s after its revocation"
        )


def _check_runs(call, request_id, runs):
    if call is None:
        yield Violation("nothing unasked", request_id, "no caller sent it")
        return
    for engine, arrival in runs:
        if arrival.headers.get("X-Expect-Instance") != engine.engine_id:
            yield Violation("the named engine", request_id, engine.engine_id)
        if "Authorization" in arrival.headers or arrival.headers.get("X-Tenant") != "tenant-1":
            yield Violation("tenant and key", request_id, str(arrival.headers)[:80])


def _check_orders(engine):
    holders = {}
    highest = 0
    for order in engine.orders:
        holder = holders.setdefault(order["Fence"], order["Holder"])
        if holder != order["Holder"] or order["Fence"] < highest:
            yield Violation("one holder of orders", engine.engine_id, str(engine.orders))
        highest = max(highest, order["Fence"])


def _check_drain(engine, known, timeline, bound_s):
    """Find requests that arrived too late at an engine that left, whether they ran or not.

    A request is excused if its node was impaired when the request arrived, or in the 3 s before
    (3.5 s after connections went silent). All nodes are impaired while the store is down, does
    not answer, or resets all connections. A single node is impaired while it is paused, stopped
    or killed, refused by the store, or cut off from the store by its proxy (reset, silence, or
    dropped answers). These faults excuse nothing: stalled or cut watches, a compacted history,
    lost answers to writes, a proxy that only delays, and any fault of another node.
    """
    for call, late_s in _after_leaving(engine, known, timeline):
        if late_s > bound_s:
            detail = f"{engine.engine_id}, {call.node}: {late_s:.2f} s after it left"
            yield Violation("no request to an engine that left", call.request_id, detail)


def _check_version(engine, known, timeline, bound_s):
    """Find requests that began too late on a replaced weight version.

    The lateness is the time since the newer version was set, or since the node's last
    impairment (see `_check_drain`) if that ended later. A run that is continued from a copy of
    its cache does not count as begun.
    """
    for call, version, late_s in _on_replaced(engine, known, timeline):
        if late_s > bound_s:
            detail = f"{engine.engine_id}, {call.node}: version {version}, {late_s:.2f} s"
            yield Violation("no request on replaced weights", call.request_id, detail)


def _after_leaving(engine, known, timeline):
    """Return the unexcused requests at an engine that left, and how late each arrived."""
    left_at = timeline.left_at.get(engine.engine_id, math.inf)
    for arrival in engine.arrivals:
        call = known.get(arrival.attempt_id)
        if arrival.at > left_at and call and not timeline.is_excused(call.node, arrival.at):
            yield call, arrival.at - left_at


def _on_replaced(engine, known, timeline):
    """Return the requests begun on replaced versions, the version, and how late each began."""
    for arrival in engine.arrivals:
        call = known.get(arrival.attempt_id)
        began = arrival.ran and "Kv-From" not in arrival.headers
        if arrival.version is None or not began or call is None:
            continue
        since = timeline.replaced_at(arrival.version)
        if arrival.at > since:
            since = max(since, timeline.unimpaired_since(call.node, arrival.at))
            yield call, arrival.version, arrival.at - since


@dataclass(frozen=True)
class Lateness:
    """The greatest lateness among the unexcused requests.

    Attributes:
        drain_s: of a request at an engine, after the engine left.
        version_s: of a request on a weight version, after a newer one was set.
    """

    drain_s: float
    version_s: float


def max_lateness(calls, engines, timeline):
    """Return how close a history comes to the checked bounds."""
    known = {call.request_id: call for call in calls}
    drain_s = [s for e in engines for _, s in _after_leaving(e, known, timeline)]
    version_s = [s for e in engines for _, _, s in _on_replaced(e, known, timeline)]
    return Lateness(round(max(drain_s, default=0.0), 2), round(max(version_s, default=0.0), 2))
