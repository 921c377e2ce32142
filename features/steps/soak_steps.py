"""Steps for the soak: its check on constructed histories, and short runs."""

from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when

from features.soak.answer_ends import PIECES, RESUME, Attempt, Reading, check_reading
from features.soak.deadly import CrashRequest, check_crash_requests
from features.soak.engine_limits import check_limits
from features.soak.engine_words import check_announcements
from features.soak.history import Bounds, Call, check
from features.soak.restarts import PIECES as STREAM_PIECES
from features.soak.restarts import (
    Period,
    StreamAttempt,
    check_going_on,
    check_stream,
)
from features.soak.run import NODES, Modes, Soak
from features.soak.timeline import SILENCE_RECOVERY_S, Impairment, Stop, Timeline

STREAM = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 5))
GOOD_HEADERS = {"X-Tenant": "tenant-1"}
BOUNDS = Bounds(revoke_s=5.0, drain_s=2.0, version_s=8.0)


def arrival(request_id, engine="e1", at=0.0, version=None, ran=True, **headers):
    sent = {"X-Expect-Instance": engine, **GOOD_HEADERS, **headers}
    return SimpleNamespace(attempt_id=request_id, ran=ran, headers=sent, at=at, version=version)


def engine(name, *arrivals, orders=()):
    return SimpleNamespace(engine_id=name, arrivals=list(arrivals), orders=list(orders))


def call(request_id, route="whole", status=200, body=None, sent_at=0.0, complete=True):
    answer = body if body is not None else f"answer to {request_id}".encode()
    return Call(request_id, route, "key", sent_at, status, answer, complete, "n1")


def order(holder, fence):
    return {"Holder": holder, "Fence": fence}


GOOD = (
    [call("r1"), call("r2", "stream", body=STREAM)],
    [engine("e1", arrival("r1"), arrival("r2"), orders=[order("n1", 3)])],
)
LOST_EVENT = STREAM.replace(b"id: 2\ndata: token 2\n\n", b"")
MIXED = STREAM.replace(b"token 1", b"v1 token 1").replace(b"token 2", b"v2 token 2")
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
    "a stream has events of two versions": (
        [call("r1", "resume", body=MIXED)],
        [engine("e1", arrival("r1"))],
    ),
    "a key was served 6 s after it was revoked": (
        [call("r1", sent_at=16.0)],
        [engine("e1", arrival("r1"))],
    ),
    "an engine ran a request nobody sent": ([], [engine("e1", arrival("r1"))]),
    "an engine ran a request for another": (
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

VIOLATED = {
    "in time": set(),
    "too late at its engine": {"no request to an engine that left"},
    "too late on its weights": {"no request on replaced weights"},
}
# When the engine left, or when version 2 was set as the target.
CHANGED_AT = 100.0


def late(late_s, **changes):
    """Return the calls and engines of one request that arrives `late_s` after the change."""
    return [call("r1")], [engine("e1", arrival("r1", at=CHANGED_AT + late_s, **changes))]


def impairment(until_s, node="n1", lasting_s=1.0, **changes):
    """Return an impairment that ended `until_s` after the change."""
    return Impairment(node, CHANGED_AT + until_s - lasting_s, CHANGED_AT + until_s, **changes)


def silence(at_s):
    return impairment(at_s, "", 0.0, recovery_s=SILENCE_RECOVERY_S)


# By description: the late request, and the impairments meanwhile.
LATE = {
    "a request 2.1 s after its engine left": (late(2.1), []),
    "a request that did not run 2.1 s after its engine left": (late(2.1, ran=False), []),
    "a request 1.9 s after its engine left": (late(1.9), []),
    "the same 9 s after, 2.9 s after its node's impairment": (late(9), [impairment(6.1)]),
    "the same 9 s after, 3.1 s after its node's impairment": (late(9), [impairment(5.9)]),
    "the same 9 s after, during its node's impairment": (late(9), [impairment(9.5)]),
    "the same 9 s after, before its node's impairment": (late(9), [impairment(10.5)]),
    "the same 9 s after, 2.9 s after another node's impairment": (
        late(9),
        [impairment(6.1, "n2")],
    ),
    "the same 9 s after, 2.9 s after the store's impairment": (late(9), [impairment(6.1, "")]),
    "the same 9 s after, 3.4 s after connections went silent": (late(9), [silence(5.6)]),
    "the same 9 s after, 3.6 s after connections went silent": (late(9), [silence(5.4)]),
    "a request on version 1 8.1 s after version 2": (late(8.1, version=1), []),
    "a request on version 1 7.9 s after version 2": (late(7.9, version=1), []),
    "a request on version 2 8.1 s after version 2": (late(8.1, version=2), []),
    "a refused request on version 1 8.1 s after version 2": (
        late(8.1, version=1, ran=False),
        [],
    ),
    "a resumed run on version 1 8.1 s after version 2": (
        late(8.1, version=1, **{"Kv-From": "copy"}),
        [],
    ),
    "a request on version 1 12 s after, 7.9 s after its node's impairment": (
        late(12, version=1),
        [impairment(4.1)],
    ),
    "a request on version 1 12 s after, 8.1 s after its node's impairment": (
        late(12, version=1),
        [impairment(3.9)],
    ),
    "a request on version 1 12 s after, 7.9 s after another node's impairment": (
        late(12, version=1),
        [impairment(4.1, "n2")],
    ),
    "a request on version 1 12 s after, 7.9 s after connections went silent": (
        late(12, version=1),
        [silence(4.1)],
    ),
}


@given("a call {sent:g} s before its node exited, which {what}")
def step_stop(context, sent, what):
    timeline = Timeline()
    timeline.stops.append(Stop("n1", CHANGED_AT, CHANGED_AT + 3.0))
    timeline.impairments.append(Impairment("n1", CHANGED_AT, CHANGED_AT + 4.0, halted=True))
    if "suspended" in what:
        timeline.impairments.append(
            Impairment("n1", CHANGED_AT + 1.0, CHANGED_AT + 1.5, halted=True)
        )
    status = 200 if what == "was answered" else None
    known = call("r1", "safe", status, sent_at=CHANGED_AT + 3.0 - sent, complete=status is not None)
    calls = [replace(known, waited="did not wait" not in what)]
    context.found = check(calls, [engine("e1")], timeline, BOUNDS)


@then("the guarantee for stopping nodes is {verdict}")
def step_stop_verdict(context, verdict):
    violated = {violation.guarantee for violation in context.found}
    assert violated == ({"a node that stops answers"} if verdict == "broken" else set()), violated


@given("a history in which {what}")
def step_history(context, what):
    timeline = Timeline(revoked_at={"key": 10.0} if "revoked" in what else {})
    calls, engines = BAD[what]
    context.found = check(calls, engines, timeline, BOUNDS)
    context.found_in_good = check(*GOOD, Timeline(), BOUNDS)


@given("a history with {what}")
def step_late(context, what):
    (calls, engines), impairments = LATE[what]
    is_on_weights = engines[0].arrivals[0].version is not None
    timeline = Timeline(
        left_at={} if is_on_weights else {"e1": CHANGED_AT},
        version_set_at={1: 0.0, 2: CHANGED_AT} if is_on_weights else {},
        impairments=impairments,
    )
    context.found = check(calls, engines, timeline, BOUNDS)


@then("the check's verdict is {verdict}")
def step_verdict(context, verdict):
    found = {violation.guarantee for violation in context.found}
    assert found == VIOLATED[verdict], context.found


@then('the check finds a violation of "{guarantee}", and none in a correct history')
def step_found(context, guarantee):
    assert {violation.guarantee for violation in context.found} == {guarantee}, context.found
    assert context.found_in_good == [], context.found_in_good


def pieces(numbers, label):
    return b"".join(f"id: {n}\ndata: {label} token {n}..\n\n".encode() for n in numbers)


def answers_of(what, label):
    """Return the bytes of each answer of one caller, and whether the last one said whole."""
    every, some = range(1, PIECES + 1), range(1, 8)
    part = b"id: 8\ndata: "
    other, same = label.replace(".1", ".2"), label
    answers = {
        "is whole": [pieces(every, same)],
        "says whole after 7 pieces": [pieces(some, same)],
        "breaks off after 7 pieces": [pieces(some, same)],
        "says whole before its first piece": [b""],
        "breaks off inside a piece": [pieces(some, same) + part],
        "says whole inside a piece after all others": [pieces(every, same) + part],
        "lacks a piece and breaks off": [pieces((1, 2, 4), same)],
        "has a piece twice and breaks off": [pieces((1, 2, 2, 3), same)],
        "has two pieces out of order and breaks off": [pieces((1, 3, 2), same)],
        "holds pieces of two runs": [pieces(some, same) + pieces(every[7:], other)],
        "holds another request's pieces": [pieces(every, same.replace("text-1", "text-2"))],
        "breaks off inside a piece and goes on": [
            pieces(some, same) + part,
            pieces(every[7:], same),
        ],
        "goes on with a piece that the caller had": [pieces(some, same), pieces(every[6:], same)],
        "goes on after a piece that the caller lacks": [
            pieces(some, same),
            pieces(every[8:], same),
        ],
        "goes on and says whole after 7 pieces": [pieces(some[:4], same), pieces(some[4:], same)],
    }[what]
    # Nothing is said of an answer that breaks off, unless the caller then reads on.
    return answers, "breaks off" not in what or "goes on" in what


@given('a caller\'s answer on "{route}" that {what}')
def step_reading(context, route, what):
    label = "text-1" if route == RESUME else "text-1/ends-llm-1.1/5.25"
    answers, said_whole = answers_of(what, label)
    attempts = [Attempt(str(n), "n1", 0.0, 200, data) for n, data in enumerate(answers)]
    attempts[-1].said_whole = said_whole
    context.found = list(check_reading(Reading(route, "text-1", attempts), filler_bytes=2))


@then('the check of answers finds "{violation}"')
def step_reading_violation(context, violation):
    found = {each.guarantee for each in context.found}
    assert violation in found if violation != "nothing" else not found, context.found


MODES = {
    "with requests that crash engines": Modes(deadly=True),
    "with prompt parts that crash engines": Modes(parts=True),
    "with suspended machines": Modes(sleeps=True),
    "under heavy load": Modes(hard=True),
    "with engines that announce leaving and pauses": Modes(words=True),
    "with engines that announce limits": Modes(limits=True),
    "with a store that is restored from older copies": Modes(returns=True),
    "with cuts between nodes and engines": Modes(cuts=True),
    "with engines of two software versions": Modes(versions=True),
    "with engine processes that end": Modes(ends=True),
    "with engine processes that end, and cuts": Modes(ends=True, cuts=True),
    "with restarts of all nodes": Modes(restarts=True),
}
# Each restart starts all nodes at once: fewer of them in this mode.
RESTARTED_NODES = 4


@when("the soak runs seed {seed:d} for {seconds:g} s")
def step_run_seed(context, seed, seconds):
    run_seed(context, seed, seconds, Modes())


@when("the soak runs seed {seed:d} for {seconds:g} s {how}")
def step_run_seed_with_mode(context, seed, seconds, how):
    run_seed(context, seed, seconds, MODES[how])


def run_seed(context, seed, seconds, modes):
    nodes = RESTARTED_NODES if modes.restarts else NODES
    context.soak = Soak(seed, seconds, context.directory, nodes, modes)
    context.found, context.alive = context.run(context.soak.run())


@then("the store was restored at least {count:d} times")
def step_restores(context, count):
    assert context.soak.restores.counts["restore"] >= count, context.soak.restores.counts


@then("engines announced that they leave, and asked for a pause")
def step_announcement_kinds(context):
    assert set(context.soak.announcements.counts) == {"leave", "pause"}, (
        context.soak.announcements.counts
    )


@then("each condition of heavy load occurred")
def step_load_kinds(context):
    assert len(context.soak.hard_load.counts) == 5, context.soak.hard_load.counts


@then("it had faults and served requests, and violated no guarantee")
def step_no_violation(context):
    served = sum(call.status == 200 and call.complete for call in context.soak.calls)
    faults = context.soak.fleet.timeline.faults
    assert len(faults) > 5 and served > 50, (faults, served)
    if context.found or not context.alive:
        print(f"logs in {context.soak.keep_logs(context.found)}")
    assert context.found == [], (len(context.found), context.found[:5])
    assert context.alive


CRASH_BODY = b"deadly 0"


@given("a request on which three engines crashed, {what}")
def step_crash_history(context, what):
    crashed = [
        SimpleNamespace(crashed_at=float(at), crashed_on=CRASH_BODY, arrivals=[])
        for at in (1, 2, 3)
    ]
    late_s = 3.1 if "3.1 s" in what else 2.9
    sends = int(what.split(" times")[0].split()[-1]) if " times" in what else 0
    arrivals = [
        SimpleNamespace(body=CRASH_BODY, at=3.0 + late_s, attempt_id=f"send {n}")
        for n in range(sends)
    ]
    calls = [
        Call(a.attempt_id, "stream", "key", a.at, 502, b"", True, "n1", CRASH_BODY)
        for a in arrivals
    ]
    if "quarantined" in what:
        body = b"another" if "another" in what else CRASH_BODY
        refusal = b'{"Error": "kept", "Code": 2013}'
        calls.append(Call("refused", "stream", "key", 9.0, 503, refusal, True, "n1", body))
    intact = SimpleNamespace(crashed_at=None, crashed_on=None, arrivals=arrivals)
    requests = [CrashRequest(CRASH_BODY, "stream")]
    context.found = list(check_crash_requests(calls, [*crashed, intact], Timeline(), requests))


@then('the check of crash requests finds "{violation}"')
def step_crash_violation(context, violation):
    expected = set() if violation == "nothing" else {violation}
    assert {violation.guarantee for violation in context.found} == expected, context.found


# When the engine's announcement reached the node, in seconds.
ANNOUNCED_AT = 100.0


def answered(at=ANNOUNCED_AT, **announced):
    """Return a request whose answer may contain announcements."""
    fields = {"announced_leaving": False, "retry_after_s": 0.0, "cut": False, **announced}
    return SimpleNamespace(attempt_id="r1", at=at, answered_at=at, **fields)


# By description: the requests of a node to the engine, and the node's impairments.
ANNOUNCEMENTS = {
    "a request 2.1 s after its engine's announcement": (
        [answered(announced_leaving=True), answered(102.1)],
        [],
    ),
    "a request 1.9 s after its engine's announcement": (
        [answered(announced_leaving=True), answered(101.9)],
        [],
    ),
    "a request after an announcement in a lost answer": (
        [answered(announced_leaving=True, cut=True), answered(109)],
        [],
    ),
    "a request 9 s after the announcement, its node killed between": (
        [answered(announced_leaving=True), answered(109)],
        [Impairment("n1", 103.0, 104.0, halted=True)],
    ),
    "a request 9 s after the announcement, its node cut off between": (
        [answered(announced_leaving=True), answered(109)],
        [Impairment("n1", 103.0, 104.0)],
    ),
    "three requests during a backoff": (
        [answered(retry_after_s=3.0), answered(101), answered(102), answered(102.9)],
        [],
    ),
    "two requests during a backoff": (
        [answered(retry_after_s=3.0), answered(101), answered(102), answered(103.1)],
        [],
    ),
    "three requests during a backoff, its node cut off": (
        [answered(retry_after_s=3.0), answered(101), answered(102), answered(102.9)],
        [Impairment("n1", 101.0, 101.5)],
    ),
}


@given("an engine that made an announcement, and {what}")
def step_announcement_history(context, what):
    arrivals, impairments = ANNOUNCEMENTS[what]
    announcing = SimpleNamespace(engine_id="e1", arrivals=arrivals)
    calls = [call("r1")]
    context.found = list(
        check_announcements(calls, [announcing], Timeline(impairments=impairments))
    )


@then('the check of announcements finds "{violation}"')
def step_announcement_violation(context, violation):
    expected = set() if violation == "nothing" else {violation}
    assert {violation.guarantee for violation in context.found} == expected, context.found


def limited(node, at, limit="1"):
    arrival = answered(at)
    arrival.attempt_id, arrival.limit, arrival.answered_at = node, limit, at + 0.01
    return arrival


def limited_then(count, first=103.5, node="n1"):
    """Return the announcements of a limit to two nodes, and later requests of one node."""
    later = [limited(node, first + 0.1 * number) for number in range(count)]
    return [limited("n1", 100.0), limited("n2", 100.0), *later]


LIMITS = {
    "12 requests in 4 s": (limited_then(12), []),
    "11 requests in 4 s": (limited_then(11), []),
    "12 requests before 3 s are over": (limited_then(12, first=101.5), []),
    "12 requests of a node that was not told": (limited_then(12, node="n3")[:14], []),
    "12 requests, its node killed between": (
        limited_then(12),
        [Impairment("n1", 102.0, 103.0, halted=True)],
    ),
    "12 requests, another node killed between": (
        limited_then(12),
        [Impairment("n2", 102.0, 103.0, halted=True)],
    ),
}


@given("an engine that announced a limit of 1 request per second, and then got {what}")
def step_limit_history(context, what):
    arrivals, impairments = LIMITS[what]
    if "not told" in what:
        for arrival in arrivals[2:]:
            arrival.limit = ""
    announcing = SimpleNamespace(
        engine_id="e1", arrivals=arrivals, limit_periods=[(99.0, 120.0, "1")]
    )
    calls = [replace(call(node), node=node) for node in ("n1", "n2", "n3")]
    context.found = list(check_limits(calls, [announcing], Timeline(impairments=impairments)))


@then("the check of limits finds the limit {verdict}")
def step_limit_verdict(context, verdict):
    assert bool(context.found) == (verdict == "exceeded"), context.found


@then("callers resumed at least {count:d} streams, and none holds events of two versions")
def step_resumed(context, count):
    counts = context.soak.versions.counts
    assert counts["gone on"] >= count and not counts["mixed"], counts


@then("engines were killed and left, and callers read {count:d} whole answers or more")
def step_ends(context, count):
    counts = context.soak.ends.counts
    ways = {way.partition(",")[0] for way in counts["ends"]}
    assert counts["whole"] >= count and {"killed", "left"} <= ways, counts


def resumption(data=b"", status=200, said_whole=False, retry_after="", sent_at=1.0):
    attempt = StreamAttempt("r2", "n2", sent_at, status, data, said_whole, ended_at=sent_at + 0.5)
    attempt.resumes, attempt.retry_after = True, retry_after
    attempt.first_piece_at = sent_at + 0.1 if data else None
    return attempt


@given("a stream over restarts that {what}")
def step_restarted_stream(context, what):
    every, some = range(1, STREAM_PIECES + 1), range(1, 8)
    begun = StreamAttempt("r1", "n1", 0.0, 200, pieces(some, "v1"))
    rest = pieces(every[7:], "v1")
    attempts = {
        "is whole in one answer": [replace(begun, data=pieces(every, "v1"), said_whole=True)],
        "goes on after 7 pieces": [begun, resumption(rest, said_whole=True)],
        "breaks off inside a piece and goes on": [
            replace(begun, data=begun.data + b"id: 8\ndata: "),
            resumption(rest, said_whole=True),
        ],
        "goes on at another version": [begun, resumption(pieces(every[7:], "v2"))],
        "goes on with a piece that the caller had": [begun, resumption(pieces(every[6:], "v1"))],
        "goes on after a piece that the caller lacks": [
            begun,
            resumption(pieces(every[8:], "v1")),
        ],
        "says whole after 7 pieces": [replace(begun, said_whole=True)],
        "is refused with 503 and Retry-After 0.3": [
            begun,
            resumption(status=503, retry_after="0.3"),
        ],
        "is refused with 503 and no Retry-After": [begun, resumption(status=503)],
        "is refused with 503 and Retry-After 0": [begun, resumption(status=503, retry_after="0")],
        "is refused with 400 and Retry-After 0.3": [
            begun,
            resumption(status=400, retry_after="0.3"),
        ],
    }[what]
    context.found = list(check_stream(Reading("restart-resume", "text-1", attempts)))


@given(
    "all nodes back for {seconds:g} s, as {going_on:d} of {resumed:d} resumptions go on, "
    "with {engines:d} engines of their version, and {begun:d} of 20 new streams begin"
)
def step_restarted_streams(context, seconds, going_on, resumed, engines, begun):
    piece = pieces([1], "v1")
    first = StreamAttempt("r1", "n1", 0.0, 200, piece, first_piece_at=0.1, ended_at=0.2)
    readings = []
    for number in range(resumed):
        again = resumption(b"x" if number < going_on else b"", sent_at=100.0 + seconds)
        again.status, again.serving = 200 if number < going_on else 503, engines
        readings.append(Reading("restart-resume", "text-1", [first, again]))
    for number in range(20):
        new = resumption(b"x" if number < begun else b"", sent_at=100.0 + seconds)
        new.resumes, new.status = False, 200 if number < begun else 503
        readings.append(Reading("restart-resume", "text-1", [new]))
    context.found = list(check_going_on(readings, [Period(100.0)]))


@then('the check of restarts finds "{violation}"')
def step_restart_violation(context, violation):
    expected = set() if violation == "nothing" else {violation}
    assert {each.guarantee for each in context.found} == expected, context.found


@then("no guarantee was violated")
def step_none_violated(context):
    print(context.soak.fleet_restarts.counts)
    if context.found or not context.alive:
        print(f"logs in {context.soak.keep_logs(context.found)}")
    assert context.found == [], (len(context.found), context.found[:5])
    assert context.alive


@then(
    "all nodes restarted at least {restarts:d} times, "
    "and at least {count:d} resumed streams went on"
)
def step_restarted(context, restarts, count):
    counts = context.soak.fleet_restarts.counts
    assert sum(counts["restarts"].values()) >= restarts, counts
    assert counts["gone on"] >= count, counts
