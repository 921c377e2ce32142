"""Steps on what peers tell of the ends of responses of an engine."""

import asyncio
import math
import time

from behave import given, then, when

from features.gateway_support import engine_record
from liftrill import clock
from liftrill.coordination.membership_messages import Member
from liftrill.gateway.delivery_events import CloseTimes, EngineAddress
from liftrill.gateway.engines.engine_end_check import EngineEndCheck, ResponseEnd
from liftrill.gateway.engines.engine_table import EngineView
from liftrill.gateway.paths.reach_codec import (
    ResponseEndAnswer,
    datagram_from_reach,
    reach_from_datagram,
)
from liftrill.gateway.paths.response_end_exchange import ResponseEndExchange, ResponseEndPeers
from liftrill.gateway.transport import EngineReply, EngineTransport, ProbeResult

ENGINE = EngineAddress("engine-1", "127.0.0.1:1", 7)
# How long before the end at the node one ended at the peer, and how long after its last bytes.
ENDS = {
    "had one end 3 ms before": (0.003, 0.02),
    "had one end 200 ms before": (0.2, 0.0),
    "had one end 6 ms later, 5 ms after bytes": (-0.006, 0.005),
    "had one end 7 ms later, at once after bytes": (-0.007, 0.0),
    "had one end 200 ms later": (-0.2, 0.2),
}
SILENT = "does not answer"
LOSES_FIRST = "gets the second question only"
# How long after the end at the node it asks, so that later ends can be known.
ASKED_AFTER_S = 0.25
# How long peers hold a question, and how long after the last bytes the response at the node ended.
HELD_S, DELAY_S = 0.01, 0.01


class Fleet(ResponseEndPeers):
    """Peers of which the first does something, and the others had no responses."""

    def __init__(self, count, does, reported):
        self._members = [
            Member(f"n{number}", f"10.1.0.{number}:1", "region-1", "zone-1", 1)
            for number in range(count)
        ]
        self._does = does
        self._reported = reported
        self.sent = []
        self.exchange = None
        self.ended_at = 0.0

    def members(self):
        return self._members

    def had_requests(self, member, engine):
        return self._reported and member is self._members[0]

    def send(self, node, content):
        content = over_the_wire(content)
        self.sent.append(node)
        if node != self._members[0].node_id:
            self.answer(node, content, ())
        elif self._does in ENDS:
            before_s, delay_s = ENDS[self._does]
            self.answer(node, content, [ResponseEnd(self.ended_at - before_s, delay_s)])
        elif self._does == LOSES_FIRST and self.sent.count(node) > 1:
            self.answer(node, content, ())

    def answer(self, node, question, ends):
        def deliver():
            told = tuple((clock.now_s() - end.at, end.delay_s) for end in ends)
            held_s = clock.now_s() - asked_at
            answer = ResponseEndAnswer(question.engine, question.nonce, held_s, told)
            self.exchange.receive(node, over_the_wire(answer))

        asked_at = clock.now_s()
        asyncio.get_running_loop().call_later(HELD_S, deliver)


def over_the_wire(content):
    return reach_from_datagram(datagram_from_reach("n", content))


@given("a leaving engine and {count:d} peers, of which one reported {requests} there and {does}")
def step_fleet(context, count, requests, does):
    context.fleet = Fleet(count, does, requests == "requests")
    context.fleet.exchange = ResponseEndExchange(context.fleet)


@when("a node whose response ended asks whether others ended at the same time")
def step_ask(context):
    async def ask():
        context.fleet.ended_at = clock.now_s() - ASKED_AFTER_S
        end = ResponseEnd(context.fleet.ended_at, DELAY_S)
        began_at = time.monotonic()
        found = await context.fleet.exchange.ended_elsewhere(ENGINE, end)
        context.took_s = time.monotonic() - began_at
        return found

    context.found = context.run(ask())


@then('it learns "{result}" within {seconds:g} s')
def step_learns(context, result, seconds):
    assert context.found.name.lower() == result, context.found
    assert context.took_s <= seconds, context.took_s


@then("it asked {count:d} peers")
def step_asked(context, count):
    assert len(set(context.fleet.sent)) == count, context.fleet.sent


class RepliesInTurn(EngineTransport):
    """An engine's address, which gives each reply in turn, and then the last one again."""

    def __init__(self, replies):
        self._replies = [reply.partition(" after ") for reply in replies.split(", ")]
        self.port = ProbeResult.ACCEPTED
        self.used_at = math.inf

    def attempt(self, request, start):
        raise NotImplementedError

    async def identify(self, view):
        reply, _, delay = self._replies[0]
        self._replies = self._replies[1:] or self._replies
        await asyncio.sleep(float(delay.removesuffix(" s") or 0.0))
        return EngineReply(reply)

    async def probe(self, address, timeout_s):
        return self.port

    def has_open_connection(self, address, used_before):
        return self.used_at < used_before


@given('an engine asked for its incarnation, which replies "{replies}"')
def step_replies(context, replies):
    context.transport = RepliesInTurn(replies)
    context.check = EngineEndCheck(context.transport, lambda view, now: None)
    context.view = EngineView(engine_record("engine-1"))


# By the other connections of an engine: how long before the close of a response its last bytes
# came, how long before it another connection was used first, and how long after their last bytes
# other responses were closed at the same time.
CONNECTIONS = {
    "no other connection": (0.0, None, ()),
    "one open since before": (0.0, 1.0, ()),
    "another response that ended at once": (0.02, None, (0.02,)),
    "another, later after its bytes": (0.001, None, (0.02,)),
    "others as late, which this node did not read": (0.3, None, (0.3, 0.31)),
    "others as late, whose ends were marked": (0.02, None, (0.02, 0.1)),
    "others that ended in step": (0.001, None, (0.001, 0.012)),
    "one opened while the close was not seen": (3.0, 1.0, ()),
    "one used before its caller was slow": (3.0, 4.0, ()),
}


@given("its port {port}, with {connections}")
def step_port(context, port, connections):
    ports = {"accepts": ProbeResult.ACCEPTED, "refuses": ProbeResult.REFUSED}
    context.transport.port = ports[port]
    context.delay_s, context.used_before_s, context.others = CONNECTIONS[connections]
    # A node does not read a response that its caller does not read.
    context.was_unread = connections.endswith(("did not read", "caller was slow"))
    context.is_after_end = connections.endswith("ends were marked")


@when("a response of it was closed in order, and its caller waits for {left:g} s")
def step_closed(context, left):
    async def check():
        began_at = clock.now_s()
        if context.used_before_s is not None:
            context.transport.used_at = began_at - context.used_before_s
        checks = [
            context.check.check_closed(
                context.view,
                CloseTimes(
                    delay_s,
                    began_at,
                    delay_s if context.was_unread else 0.0,
                    is_after_end=context.is_after_end,
                ),
                began_at + left,
            )
            for delay_s in (context.delay_s, *context.others)
        ]
        context.evidence, *_ = await asyncio.gather(*checks)
        context.took_s = clock.now_s() - began_at

    context.run(check())


@then('the engine counts as "{evidence}" within {seconds:g} s')
def step_counts(context, evidence, seconds):
    assert context.evidence.engine.value == evidence, context.evidence
    assert context.took_s <= seconds, context.took_s


@given("a leaving engine that has ended")
def step_leaving(context):
    context.transport = RepliesInTurn("refused")
    context.transport.port = ProbeResult.REFUSED
    context.check = EngineEndCheck(context.transport, lambda view, now: None)
    context.view = EngineView(engine_record("engine-1"))
    context.view.condition.leaving = True


# Of another response: how much later than the first one its connection was closed, how long after
# its last bytes that was, and for how long of this the node did not read.
OTHERS = {
    "was closed 6 ms before": (-0.006, 0.02, 0.0),
    "was closed 6 ms later, 1 ms after its bytes": (0.006, 0.001, 0.0),
    "was closed 2 ms before": (-0.002, 0.02, 0.0),
    "was closed 6 ms later, 5 ms after its bytes": (0.006, 0.005, 0.0),
    "was closed 6 ms later, and was not read for 9 ms": (0.006, 0.01, 0.009),
    "was closed at an unknown time": (math.inf, 0.0, 0.0),
}


@when(
    "a response of it is closed in order {delay:g} ms after its last bytes, and another one {other}"
)
def step_closed_in_turn(context, delay, other):
    async def check():
        # The node comes to both ends at once, after it has read them one after the other.
        closed_at = clock.now_s() - 0.01
        others = ()
        if other == "was lost":
            context.check.record_response_end(context.view, clock.now_s())
        else:
            later_s, delay_s, unread_s = OTHERS[other]
            others = (CloseTimes(delay_s, closed_at + later_s, unread_s),)
        checks = [
            context.check.check_closed(context.view, times, clock.now_s() + 4.0)
            for times in (CloseTimes(delay / 1000, closed_at), *others)
        ]
        context.evidence, *_ = await asyncio.gather(*checks)

    context.run(check())


@then("the first one {result} complete")
def step_first_complete(context, result):
    evidence = context.evidence
    assert evidence.engine.value == "ended" and evidence.is_leaving, evidence
    assert evidence.shows_completion is (result == "is"), evidence
