"""Steps on the soak: its check on made-up histories, and one short play."""

from types import SimpleNamespace

from behave import given, then, when

from features.soak.history import Call, check
from features.soak.run import Soak

STREAM = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 5))
GOOD_HEADERS = {"X-Tenant": "tenant-1"}


def arrival(request_id, engine="e1", **headers):
    sent = {"X-Expect-Instance": engine, **GOOD_HEADERS, **headers}
    return SimpleNamespace(attempt_id=request_id, ran=True, headers=sent)


def engine(name, *arrivals, orders=()):
    return SimpleNamespace(engine_id=name, arrivals=list(arrivals), orders=list(orders))


def call(request_id, route="whole", status=200, body=None, sent_at=0.0, complete=True):
    answer = body if body is not None else f"answer to {request_id}".encode()
    return Call(request_id, route, "key", sent_at, status, answer, complete)


def order(holder, fence):
    return {"Holder": holder, "Fence": fence}


GOOD = (
    [call("r1"), call("r2", "stream", body=STREAM)],
    [engine("e1", arrival("r1"), arrival("r2"), orders=[order("n1", 3)])],
)
LOST_EVENT = STREAM.replace(b"id: 2\ndata: token 2\n\n", b"")
BAD = {
    "a request was begun on two engines": (
        [call("r1")],
        [engine("e1", arrival("r1")), engine("e2", arrival("r1", "e2"))],
    ),
    "a refused request ran": ([call("r1", status=503)], [engine("e1", arrival("r1"))]),
    "a caller got another one's answer": (
        [call("r1", body=b"answer to r2")],
        [engine("e1", arrival("r1"))],
    ),
    "a stream lacks an event": (
        [call("r1", "stream", body=LOST_EVENT, complete=False)],
        [engine("e1", arrival("r1"))],
    ),
    "a stream ends as complete too early": (
        [call("r1", "resume", body=STREAM[: len(STREAM) // 2])],
        [engine("e1", arrival("r1"))],
    ),
    "a key was served 6 s after it was revoked": (
        [call("r1", sent_at=16.0)],
        [engine("e1", arrival("r1"))],
    ),
    "an engine ran what nobody sent": ([], [engine("e1", arrival("r1"))]),
    "an engine ran what was meant for another": (
        [call("r1")],
        [engine("e1", arrival("r1", "e2"))],
    ),
    "a key was passed on to an engine": (
        [call("r1")],
        [engine("e1", arrival("r1", Authorization="Token key"))],
    ),
    "two nodes ordered with one fence": (
        [],
        [engine("e1", orders=[order("n1", 3), order("n2", 3)])],
    ),
}


@given("a history in which {what}")
def step_history(context, what):
    revoked_at = {"key": 10.0} if "revoked" in what else {}
    calls, engines = BAD[what]
    context.found = check(calls, engines, revoked_at, 5.0)
    context.found_in_good = check(*GOOD, {}, 5.0)


@then('the check finds "{promise}" broken, and nothing in the history without it')
def step_found(context, promise):
    assert {violation.promise for violation in context.found} == {promise}, context.found
    assert context.found_in_good == [], context.found_in_good


@when("seed {seed:d} is played for {seconds:g} s")
def step_play(context, seed, seconds):
    context.soak = Soak(seed, seconds, context.directory)
    context.found, context.alive = context.run(context.soak.run())


@then("it had faults and served requests, and broke no promise")
def step_no_violation(context):
    served = sum(call.status == 200 and call.complete for call in context.soak.calls)
    assert len(context.soak.faults) > 5 and served > 50, (context.soak.faults, served)
    assert context.found == [], context.found
    assert context.alive
