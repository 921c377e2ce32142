"""Steps on the links of a node to engines, in virtual time."""

import itertools
import time

from behave import given, then, when

from features.gateway_support import engine_record
from liftrill.coordination.membership_messages import Member
from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.paths.engine_links import EngineLinks
from liftrill.gateway.paths.isolation import IsolatedNodes
from liftrill.gateway.paths.proxy_table import ProxyTable
from liftrill.gateway.paths.reach_codec import ReachAnswer
from liftrill.gateway.paths.reach_exchange import ReachExchange, ReachPeers
from liftrill.gateway.transport import ProbeResult

STEP_S = 0.01
CHECK_STEPS = 10
ROUND_TRIP_S = 0.004
PROBE_TIMEOUT_S = 0.2


class VirtualNode:
    """A node that sends requests to its engines in turn, and probes their links.

    Attributes:
        hanging, refusing, silent: engines whose links hang or refuse, and those that answer no
            requests.
        told: the requests that were told that their link is down.
    """

    def __init__(self, engines, service_s):
        self.engines = [EngineAddress(f"e{n}", f"10.0.0.{n}:1", n + 1) for n in range(engines)]
        self.service_s = service_s
        self.links = EngineLinks(on_change=self.changed)
        self.now = 0.0
        self.hanging, self.refusing, self.silent = set(), set(), set()
        self.is_late = False
        self.open = []
        self.probes = []
        self.probe_count = 0
        self.changes = []
        self.told = set()
        self.sent = []
        self._numbers = itertools.count()

    def changed(self, change):
        self.changes.append((self.now, change))
        if not change.is_up:
            self.links.suspect_all(self.engines, self.now)

    def send(self):
        number = next(self._numbers)
        engine = self.engines[number % len(self.engines)]
        if not self.links.is_up(engine):
            return
        use = self.links.begin(engine, lambda: self.told.add(number), self.now)
        self.sent.append((self.now, number))
        if engine in self.refusing:
            self.links.could_not_connect(use, self.now)
            self.links.end(use)
        else:
            self.open.append((self.now, engine, use))

    def run(self, seconds, interval_s=0.15):
        for step in range(round(seconds / STEP_S)):
            self.now += STEP_S
            if step % round(interval_s / STEP_S) == 0:
                self.send()
            self._answer()
            self._end_probes()
            if step % CHECK_STEPS == 0:
                self._start_probes()

    def _answer(self):
        for row in list(self.open):
            sent_at, engine, use = row
            is_cut = engine in self.hanging or engine in self.refusing
            if self.now - sent_at < self.service_s or is_cut or engine in self.silent:
                continue
            self.links.received(use, self.now)
            self.links.end(use)
            self.open.remove(row)

    def _start_probes(self):
        for engine in self.links.due_probes(self.now):
            self.probe_count += 1
            is_hanging = engine in self.hanging
            self.probes.append((self.now + (PROBE_TIMEOUT_S if is_hanging else 0.01), engine))

    def _end_probes(self):
        due = [row for row in self.probes if row[0] <= self.now]
        self.probes = [row for row in self.probes if row[0] > self.now]
        for _, engine in due:
            result = ProbeResult.ACCEPTED
            if self.is_late:
                result = ProbeResult.LATE
            elif engine in self.hanging:
                result = ProbeResult.UNANSWERED
            elif engine in self.refusing:
                result = ProbeResult.REFUSED
            self.links.record_probe(engine, result, self.now)
            # As in the node, a change starts the probes that follow from it at once.
            if self.changes and self.changes[-1][0] == self.now:
                self._start_probes()


@given("a node with {engines:d} engines that answer requests after {seconds:g} s")
def step_node(context, engines, seconds):
    context.node = VirtualNode(engines, seconds)


@when("it sends a request every {interval:g} s, and after {seconds:g} s all links hang")
def step_hang(context, interval, seconds):
    context.node.run(seconds, interval)
    context.node.hanging = set(context.node.engines)


@when("it sends a request every {interval:g} s, and after {seconds:g} s all links are refused")
def step_refuse(context, interval, seconds):
    context.node.run(seconds, interval)
    context.node.refusing = set(context.node.engines)


@when("{seconds:g} s later they are restored")
def step_restore(context, seconds):
    context.node.run(seconds)
    context.node.hanging, context.node.refusing = set(), set()


@when(
    "it sends a request every {interval:g} s, and after {seconds:g} s"
    " one engine is silent for {silent:g} s"
)
def step_silent(context, interval, seconds, silent):
    node = context.node
    node.run(seconds, interval)
    node.silent = {node.engines[3]}
    node.run(silent, interval)
    node.silent = set()


@when(
    "it sends a request every {interval:g} s, and after {seconds:g} s its probes and answers are"
    " late for {late:g} s"
)
def step_late(context, interval, seconds, late):
    node = context.node
    node.run(seconds, interval)
    node.is_late, node.silent = True, set(node.engines)
    node.run(late, interval)


@when("it sends a request every {interval:g} s, and after {seconds:g} s one engine ends")
def step_end(context, interval, seconds):
    context.node.run(seconds, interval)
    context.node.refusing = {context.node.engines[3]}


@when("it sends a request every {interval:g} s for {seconds:g} s")
def step_send(context, interval, seconds):
    context.node.run(seconds, interval)


@when("it loses a connection whose engine is found to accept others at once")
def step_lose_connection(context):
    node = context.node
    engine = node.engines[0]
    use = node.links.begin(engine, lambda: None, node.now)
    node.links.was_interrupted(use)
    node.links.end(use)
    node.links.record_probe(engine, ProbeResult.ACCEPTED, node.now)


@when("{seconds:g} s pass at the node")
def step_wait(context, seconds):
    context.node.run(seconds)


@then("within {seconds:g} s all {count:d} links are down")
def step_down(context, seconds, count):
    context.node.run(seconds)
    assert len(context.node.links.unreachable()) == count, context.node.changes


@then("within {seconds:g} s all {count:d} links are up")
def step_up(context, seconds, count):
    context.node.run(seconds)
    node = context.node
    assert sum(node.links.is_up(engine) for engine in node.engines) == count, node.changes


@then("no link went down")
def step_none_down(context):
    assert not context.node.changes, context.node.changes


@then("{count:d} link is down")
def step_count_down(context, count):
    assert len(context.node.links.unreachable()) == count, context.node.changes


@then("it probed at most {count:d} times")
def step_probes(context, count):
    assert context.node.probe_count <= count, context.node.probe_count


@then(
    "every request of the last {seconds:g} s that waited for {wait:g} s was told that its link"
    " is down"
)
def step_told(context, seconds, wait):
    node = context.node
    waiting = [number for at, number in node.sent if node.now - seconds < at <= node.now - wait]
    assert waiting, "no request waited"
    missed = [number for number in waiting if number not in node.told]
    assert not missed, f"{len(missed)} of {len(waiting)} requests were not told"


class DenyingPeers(ReachPeers):
    """Peers of which some answer at once that they reach no engine, and the others never."""

    def __init__(self, count, answering):
        self._members = [
            Member(f"n{number}", f"10.1.0.{number}:1", "region-1", "zone-1", 1)
            for number in range(count)
        ]
        self._answering = {member.node_id for member in self._members[:answering]}
        self.exchange = None

    def others(self):
        return self._members

    def send(self, node, content):
        if node in self._answering:
            self.exchange.receive(node, ReachAnswer((), content.engines))


@given("{count:d} peers of which {answering:d} answer that they do not reach an engine")
def step_denying_peers(context, count, answering):
    engines = EngineTable()
    context.engine = engines.update(engine_record("engine-1")).identity
    peers = DenyingPeers(count, answering)
    context.exchange = peers.exchange = ReachExchange(
        engines, ProxyTable(), IsolatedNodes(), peers, "zone-1", check=None
    )


@when("the node asks them whether the engine has ended")
def step_ask_peers(context):
    began_at = time.monotonic()
    context.is_reached = context.run(context.exchange.is_reached_by_peers(context.engine))
    context.took_s = time.monotonic() - began_at


@then("it knows within {seconds:g} s that no peer reaches it")
def step_knows(context, seconds):
    assert not context.is_reached
    assert context.took_s <= seconds, context.took_s


@when("{count:d} attempts over one link cannot connect, one after the other within {seconds:g} s")
def step_cannot_connect(context, count, seconds):
    context.links = EngineLinks()
    engine = EngineAddress("e1", "10.0.0.1:1", 1)
    uses = [context.links.begin(engine, lambda: None, 0.0) for _ in range(count)]
    for number, use in enumerate(uses):
        context.links.could_not_connect(use, number * seconds / count)


@then("the link is probed within {seconds:g} s of the first")
def step_probed_soon(context, seconds):
    assert context.links.due_probes(seconds)
