"""Steps on the quarantine of requests at nodes that report lost runs to each other."""

import random
import time
from dataclasses import dataclass, field

from behave import given, then, when

from features.gateway_support import choice_of, engine_record, new_quarantine, opaque_request
from liftrill import clock
from liftrill.coordination.lost_runs import LostRun
from liftrill.coordination.range_store import StoredItem
from liftrill.coordination.store_mirror import StoreMirror
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery_times import AttemptTimes
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.peers.peer_link import RESEND_DELAYS_S
from liftrill.gateway.quarantine_codec import (
    datagram_from_served,
    datagrams_from_runs,
    entry_from_notice,
    served_at_from_message,
)
from liftrill.gateway.quarantine_codec import runs_from_message as runs_of
from liftrill.gateway.quarantine_list import QuarantineEntry
from liftrill.gateway.quarantine_ports import QuarantinePeers, QuarantineStorage
from liftrill.gateway.quarantine_records import QuarantineRecords, key_of
from liftrill.messages import peer_pb2 as messages

RAN_S = 0.05


class RecordingStorage(QuarantineStorage):
    """Records what a node would store."""

    def __init__(self):
        self.saved = []
        self.deleted = []

    def save(self, entry, at_once):
        self.saved.append((entry, at_once))

    def delete(self, fingerprint):
        self.deleted.append(fingerprint)


class SimulatedPeers(QuarantinePeers):
    """Delivers a node's reports to the other nodes of a scenario, in virtual time."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    def send_lost_runs(self, runs):
        self._fleet.send(self._name, lambda node, now: node.apply_lost_runs(self._name, runs, now))

    def send_served(self, subject, environment=0):
        for delay_s in RESEND_DELAYS_S:
            message = datagram_from_served(subject, environment, delay_s)

            def deliver(node, now, message=message):
                node.apply_served(subject, served_at_from_message(message, now), environment)

            self._fleet.send(self._name, deliver, delay_s=delay_s)

    def send_quarantined(self, entry, node=""):
        self._fleet.send(self._name, lambda other, now: other.apply_quarantined(entry, now), node)


@dataclass
class Fleet:
    """Three nodes that know the same engines.

    Attributes:
        delays_s: by (sender, receiver), how late a report arrives.
    """

    nodes: dict = field(default_factory=dict)
    engines: dict = field(default_factory=dict)
    storages: dict = field(default_factory=dict)
    delays_s: dict = field(default_factory=dict)
    now: float = 100.0
    pending: list = field(default_factory=list)
    sent: int = 0

    def send(self, sender, deliver, only="", delay_s=0.0):
        self.sent += 1
        for name in self.nodes:
            if name != sender and only in ("", name):
                arrives_at = self.now + delay_s + self.delays_s.get((sender, name), 0.0)
                self.pending.append((arrives_at, name, deliver))
        self.pass_time(0.0)

    def pass_time(self, seconds):
        until = self.now + seconds
        while due := sorted((row for row in self.pending if row[0] <= until), key=lambda r: r[0]):
            at, name, deliver = due[0]
            self.pending.remove(due[0])
            self.now = max(self.now, at)
            deliver(self.nodes[name], self.now)
        self.now = until
        for node in self.nodes.values():
            node.expire(self.now)

    def view(self, node, engine):
        return self.engines[node].get(engine)

    def lose(self, node, request, engine, ends=True):
        times = AttemptTimes(self.now - RAN_S)
        view = self.view(node, engine)
        self.nodes[node].run_lost(request, choice_of(view), times, self.now)
        if ends:
            self.nodes[node].engine_ended(view, self.now)


def request_named(name):
    return opaque_request(body=name.encode(), shares_part=False)


@given("three nodes that receive each other's reports at once, and engines 1 to 6")
def step_fleet(context):
    fleet = context.fleet = Fleet()
    for name in ("1", "2", "3"):
        table = EngineTable()
        for number in range(1, 7):
            table.update(engine_record(str(number)))
        fleet.engines[name] = table
        fleet.storages[name] = RecordingStorage()
        fleet.nodes[name] = new_quarantine(table, SimulatedPeers(fleet, name), fleet.storages[name])


@given("node {receiver} receives the reports of node {sender} half a second after the second end")
def step_delay(context, receiver, sender):
    context.fleet.delays_s[sender, receiver] = 1.5


@when(
    'node {one} loses "{name}" early as engine {first} ends, '
    "and node {other} as engine {second} ends a second later"
)
def step_two_ends(context, one, name, first, other, second):
    request = request_named(name)
    context.fleet.lose(one, request, first)
    context.fleet.pass_time(1.0)
    context.fleet.lose(other, request, second)


@when('node {node} twice loses "{name}" early at engine {engine}, which does not end')
def step_no_end(context, node, name, engine):
    for _ in range(2):
        context.fleet.lose(node, request_named(name), engine, ends=False)
        context.fleet.pass_time(1.0)


@when('node {node} abandons "{name}" {seconds:g} s before it finds that engine {engine} has ended')
def step_abandoned(context, node, name, seconds, engine):
    fleet = context.fleet
    fleet.lose(node, request_named(name), engine, ends=False)
    fleet.pass_time(seconds)
    fleet.nodes[node].engine_ended(fleet.view(node, engine), fleet.now)


@when('node {node} loses "{name}" early as engine {engine} ends, and node {other} sees it served')
def step_lost_and_served(context, node, name, engine, other):
    context.fleet.lose(node, request_named(name), engine)
    context.fleet.pass_time(0.2)
    assert context.fleet.nodes[other].is_suspect(request_named(name))
    step_served(context, other, name)


@when('node {node} loses "{name}" early as engine {engine:d} ends')
def step_one_end(context, node, name, engine):
    context.fleet.lose(node, request_named(name), str(engine))


@when("nothing happens for {seconds:g} s")
def step_pass(context, seconds):
    context.fleet.pass_time(seconds)


@when('node {node} loses "{name}" early as engine {engine} ends, and "{other}" with it')
def step_both_lost(context, node, name, engine, other):
    context.fleet.lose(node, request_named(name), engine, ends=False)
    context.fleet.lose(node, request_named(other), engine)
    context.fleet.pass_time(1.0)


@when(
    "another engine has ended without it, "
    'and node {node} loses "{name}" early as engine {engine} ends'
)
def step_unrelated_end(context, node, name, engine):
    fleet = context.fleet
    for other in fleet.nodes:
        fleet.nodes[other].engine_ended(fleet.view(other, "6"), fleet.now)
    fleet.lose(node, request_named(name), engine)


@then('after {seconds:g} s no node quarantines "{name}"')
def step_not_quarantined(context, seconds, name):
    context.fleet.pass_time(seconds)
    context.fleet.pass_time(0.2)
    for node, quarantine in context.fleet.nodes.items():
        assert not quarantine.remaining_s(request_named(name)), node


@when('node {node} sees "{name}" served')
def step_served(context, node, name):
    fleet, request = context.fleet, request_named(name)
    fleet.nodes[node].served(request, fleet.now)
    fleet.nodes[node].parts_served(request, choice_of(fleet.view(node, "5")), fleet.now)
    context.fleet.pass_time(0.2)


@given('node {node} alone does not know that "{name}" is in quarantine')
def step_uninformed(context, node, name):
    entry = QuarantineEntry(request_named(name).fingerprint, time.time() + 600.0, 1, "", "", ("1",))
    for other, quarantine in context.fleet.nodes.items():
        if other != node:
            quarantine.apply_record(entry, context.fleet.now)


@given('the quarantine of "{name}" ended 1 s ago at all nodes')
def step_quarantine_over(context, name):
    entry = QuarantineEntry(request_named(name).fingerprint, time.time() - 1.0, 1, "", "", ("1",))
    for quarantine in context.fleet.nodes.values():
        quarantine.apply_record(entry, context.fleet.now)
        assert quarantine.is_suspect(request_named(name))


@when("its record is deleted before node 3 would have stored it")
def step_deleted(context):
    context.fleet.pass_time(0.2)
    for quarantine in context.fleet.nodes.values():
        quarantine.release(request_named("deadly").fingerprint, context.fleet.now)


@then('after {seconds:g} s all nodes quarantine "{name}" for about {lasts:g} s')
def step_quarantined(context, seconds, name, lasts):
    context.fleet.pass_time(seconds)
    context.fleet.pass_time(0.2)
    for node, quarantine in context.fleet.nodes.items():
        left_s = quarantine.remaining_s(request_named(name))
        assert lasts - 5.0 < left_s <= lasts, (node, left_s)
        refusal = quarantine.check(request_named(name))
        assert refusal.code.number == 2013 and abs(refusal.retry_after_seconds - left_s) < 1.0
        assert quarantine.check(request_named("other")) is None


@then(
    "a node that lost it stored the entry at once, and node {other} only in case no other node does"
)
def step_stored(context, other):
    storages = (context.fleet.storages["1"], context.fleet.storages["2"])
    assert any(at_once for storage in storages for _, at_once in storage.saved)
    assert {at_once for _, at_once in context.fleet.storages[other].saved} == {False}


@when('node {other} reports to node {node} that "{name}" is in quarantine')
def step_quarantine_reported(context, node, other, name):
    fingerprint = request_named(name).fingerprint
    entry = QuarantineEntry(fingerprint, time.time() + 600.0, 1, "", "", ("1", "2"))
    context.fleet.nodes[node].apply_quarantined(entry, context.fleet.now)


@then("node {node} stored the entry at once, with its route")
def step_stored_route(context, node):
    context.fleet.pass_time(0.4)
    ((entry, at_once),) = context.fleet.storages[node].saved
    assert at_once and entry.route == "route-1", entry


@when("after {seconds:g} s node {node} reports its run again")
def step_reports_again(context, seconds, node):
    fleet = context.fleet
    ended_at = fleet.now
    fleet.pass_time(seconds)
    fleet.sent = 0
    fingerprint = request_named("deadly").fingerprint
    number = fleet.view(node, "2").number
    run = LostRun(fingerprint, number, True, ended_at - RAN_S, ended_at)
    SimulatedPeers(fleet, node).send_lost_runs([run])


@then("no node answers the report")
def step_unanswered(context):
    assert context.fleet.sent == 1, context.fleet.sent


@then('node {node} delays "{name}" by {seconds:g} s, and does not delay "{other}"')
def step_delays(context, node, name, seconds, other):
    quarantine, now = context.fleet.nodes[node], context.fleet.now
    assert not quarantine.is_decided(request_named(name), now + seconds - 0.01)
    assert quarantine.is_decided(request_named(other), now)
    assert quarantine.is_decided(request_named(name), now + seconds)
    assert quarantine.remaining_s(request_named(name)) > 0


@then('no report was sent, and no node suspects "{name}"')
def step_no_report(context, name):
    assert context.fleet.sent == 0, context.fleet.sent
    step_no_suspect(context, name)


@then('no node suspects "{name}"')
def step_no_suspect(context, name):
    context.fleet.pass_time(1.0)
    for node, quarantine in context.fleet.nodes.items():
        assert not quarantine.is_suspect(request_named(name)), node
        assert not quarantine.remaining_s(request_named(name)), node


@then('all nodes suspect "{name}"')
def step_all_suspect(context, name):
    for node, quarantine in context.fleet.nodes.items():
        assert quarantine.is_suspect(request_named(name)), node


@then("node {node} deletes its record")
def step_deletes(context, node):
    assert context.fleet.storages[node].deleted == [request_named("deadly").fingerprint]


@then("node {node} stores nothing")
def step_stores_nothing(context, node):
    storage = context.fleet.storages[node]
    assert storage.deleted[-1:] == [request_named("deadly").fingerprint], storage.deleted


@then("{count:d} random records are decoded or refused without another error")
def step_random_records(context, count):
    records = QuarantineRecords(None, StoreMirror(), DecisionLog("node-1"))
    draw = random.Random(35)
    for _ in range(count):
        key = key_of(draw.randbytes(draw.choice((0, 3, 16, 16, 20))))
        found = records.read(StoredItem(key, draw.randbytes(draw.randrange(40)), 1))
        assert found is None or len(found.fingerprint) == 16


@then("{count:d} random datagrams are decoded or refused without another error")
def step_random_datagrams(context, count):
    draw = random.Random(35)
    for _ in range(count):
        run = messages.LostRun(
            fingerprint=draw.randbytes(draw.choice((0, 5, 16))),
            engine=draw.getrandbits(64),
            sent_age_milliseconds=draw.getrandbits(32),
            end_age_milliseconds=draw.getrandbits(32),
        )
        message = messages.Datagram(lost_runs=[run])
        message.quarantined.fingerprint = draw.randbytes(draw.choice((0, 16)))
        found = runs_of(message, clock.now_s())
        assert all(len(run.fingerprint) == 16 for run in found)
        for datagram in datagrams_from_runs("node-1", found, clock.now_s()):
            assert len(datagram.SerializeToString()) < 1_200
        entry = entry_from_notice(message.quarantined)
        assert entry is None or entry.quarantine_count >= 1
