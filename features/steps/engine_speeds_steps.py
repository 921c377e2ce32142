"""Steps on placement on engines of different speed."""

from dataclasses import replace
from functools import cache

from behave import given, then, when

from features.gateway_support import engine_record, opaque_request
from features.uneven_engines import Simulation
from liftrill.coordination import rendezvous
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_speed import WorkSample
from liftrill.gateway.engines.engine_table import EngineLoad, EngineTable
from liftrill.gateway.engines.placement import Candidate, LeastLoaded
from liftrill.gateway.engines.speed_estimator import SpeedRow
from liftrill.gateway.opaque_request import PromptPart, PromptShape
from liftrill.gateway.peers.load_codec import datagrams_from_report, speeds_from_message
from liftrill.gateway.peers.load_exchange import LoadReport, LoadScope
from liftrill.gateway.weight_targets import WeightTargets
from liftrill.messages import peer_pb2

TICK_S = 0.1
PROMPT_TOKENS = 5_000
ANSWER_S = 0.02
EVENT_S = 0.03
SEEDS = (20, 21, 22, 23)
LARGEST_DATAGRAM_BYTES = 1_200


class Fleet:
    """A node's view of engines that are busy all the time."""

    def __init__(self, engines, rate, slots=32):
        self.rate, self.now = rate, 0.0
        self.table = EngineTable()
        for number in range(engines):
            self.table.update(engine_record(f"e{number}", weights={"model": 1}, slots=slots))
        self.selector = EngineSelector(self.table, WeightTargets(8.0), "zone-1")
        self.speeds = self.selector.speeds
        self.changes = []

    def view(self, number):
        return self.table.get(f"e{number}")

    def work(self, seconds, slowness=None, answers=False):
        """Record work of each engine for a time, slower by a factor for some engines."""
        slow = slowness or {}
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for view in self.table:
                factor = slow.get(view.engine_id, 1.0)
                if answers:
                    self.speeds.record_answer(view, ANSWER_S * factor, 1, self.now)
                else:
                    self.read(view.engine_id, PROMPT_TOKENS, factor)
            self.changes += self.speeds.refresh(self.now)

    def read(self, engine_id, tokens, factor=1.0):
        self.speeds.record_prefill(engine_id, tokens, factor * tokens / self.rate, self.now)

    def settle(self):
        """Advance the time until paces are computed again, and compute them."""
        self.now += 0.5
        self.changes += self.speeds.refresh(self.now)

    def receive_reports(self, peers, factor, is_faulty=False):
        units = PROMPT_TOKENS * (1_000 if is_faulty else 2)
        work = WorkSample(units, factor * units / self.rate)
        for peer in range(peers):
            row = SpeedRow(self.view(0).number, work)
            self.speeds.apply_report(
                f"liar-{peer}" if is_faulty else f"peer-{peer}", "z", [row], self.now
            )

    def slow(self):
        return [view.engine_id for view in self.table if view.speed.slowness > 1.0]


@given("{count:d} engines of which each reads {rate:d} tokens a second")
def step_fleet(context, count, rate):
    context.fleet = Fleet(count, rate)


@when("they work at the same speed for {seconds:g} s")
def step_same_speed(context, seconds):
    context.fleet.work(seconds)


@when("engine {number:d} takes {factor:g} times as long for {seconds:g} s")
def step_slow(context, number, factor, seconds):
    context.fleet.work(seconds, {f"e{number}": factor})


@when("all take {factor:g} times as long for {seconds:g} s")
def step_all_slow(context, factor, seconds):
    context.fleet.work(seconds, {view.engine_id: factor for view in context.fleet.table})


@then("none is slow")
def step_none_slow(context):
    assert not context.fleet.slow(), context.fleet.slow()


@then(
    "engine {number:d} is slow, takes between {least:g} and {most:g} times as long,"
    " and still gets work"
)
def step_is_slow(context, number, least, most):
    fleet = context.fleet
    fleet.settle()
    view = fleet.view(number)
    assert fleet.slow() == [view.engine_id], fleet.slow()
    assert least <= view.speed.slowness <= most, view.speed.slowness
    chosen = [choose(fleet, f"s{n}") for n in range(200)]
    assert 0 < chosen.count(view.engine_id) < 200 / len(fleet.table), chosen


def choose(fleet, name):
    parts = (PromptPart(name, 3_000), PromptPart(f"own {name}", 500))
    shape = PromptShape("model", parts, 3_500, 20)
    request = replace(opaque_request(request_id=name), prompt=shape)
    return fleet.selector.choose(request, frozenset(), fleet.now).engine_id


@then("it was reported {how} once, with evidence")
def step_reported(context, how):
    found = [c for c in context.fleet.changes if (c.slowness > 1.0) == (how == "slow")]
    assert len(found) == 1 and found[0].own_work_s > 0.0 and found[0].pace_s > 0.0, found
    logged = found[0].log_fields()
    assert logged["engine"] == "e0" and logged["own_work_s"] > 0.0, logged


@when("one reading of engine 0 stalls for {seconds:g} s")
def step_stall(context, seconds):
    fleet = context.fleet
    fleet.speeds.record_prefill("e0", PROMPT_TOKENS, seconds, fleet.now)
    fleet.settle()


@when("a prompt of {tokens:d} tokens is read at engine {number:d}")
def step_long(context, tokens, number):
    context.fleet.read(f"e{number}", tokens)
    context.fleet.settle()


@when(
    "engine {number:d} loads weights for {seconds:g} s, and its requests take"
    " {factor:g} times as long"
)
def step_loads(context, number, seconds, factor):
    fleet = context.fleet
    view = fleet.view(number)
    view.paused_until, view.loading_version = fleet.now + seconds, 2
    fleet.work(seconds, {view.engine_id: factor})
    view.paused_until, view.loading_version = 0.0, 0
    # The prompt was sent during the weight load and is read soon after it.
    fleet.read(view.engine_id, PROMPT_TOKENS, factor)
    fleet.settle()


@then("{tokens:d} tokens wait between {least:g} and {most:g} s at each")
def step_waits(context, tokens, least, most):
    for view in context.fleet.table:
        view.own_load.waiting_tokens = tokens
        wait_s = context.fleet.selector.expected_wait_s(view)
        assert least <= wait_s <= most, wait_s


@when("{peers:d} peers report that engine 0 takes {factor:g} times as long")
def step_peers(context, peers, factor):
    context.fleet.receive_reports(peers, factor)
    context.fleet.settle()


@when(
    "{peers:d} peers report that engine 0 takes {factor:g} times as long,"
    " and a faulty peer that it takes {wrong:g} times"
)
def step_faulty_peer(context, peers, factor, wrong):
    context.fleet.receive_reports(peers, factor)
    context.fleet.receive_reports(1, wrong, is_faulty=True)
    context.fleet.settle()


@when("no peer reports anything for {seconds:g} s")
def step_no_reports(context, seconds):
    context.fleet.now += seconds
    context.fleet.settle()


@when("engine 0 restarts")
def step_restarts(context):
    table = context.fleet.table
    table.remove("e0")
    table.update(engine_record("e0", weights={"model": 1}, revision=2))
    context.fleet.settle()


@then("nothing is known of engine 0")
def step_unknown(context):
    fleet = context.fleet
    model = fleet.view(0).speed
    assert not model.prefill.current_s and model.slowness == 1.0, model
    assert fleet.speeds.prefill_s_per_token(
        fleet.view(0)
    ) == fleet.speeds.service_prefill_s_per_token("service-1")


@then("nothing is left of engine 0 but its long-term pace")
def step_only_long_term(context):
    reading = context.fleet.view(0).speed.prefill
    assert not reading.sources() and reading.current_s == reading.long_term_s, reading


def homes(fleet, count):
    candidates = [Candidate(view, "scope") for view in fleet.table]
    policy = fleet.selector._prompt_policy
    found = {}
    for number in range(count):
        shape = PromptShape("model", (PromptPart(f"p{number}", 500), PromptPart("own", 5)), 505)
        request = replace(opaque_request(), prompt=shape)
        found[number] = policy._home(request, candidates, f"p{number}".encode())
    return found


@then("{count:d} shared parts have the homes that hashing alone gives")
def step_homes(context, count):
    names = [view.engine_id for view in context.fleet.table]
    context.homes = homes(context.fleet, count)
    for number, home in context.homes.items():
        assert home == rendezvous.first(f"p{number}".encode(), names)


@then("engine 0 is home to between {least:g} and {most:g} times as many shared parts as the others")
def step_fewer_homes(context, least, most):
    found = list(homes(context.fleet, 2_000).values())
    others = sum(name != "e0" for name in found) / (len(context.fleet.table) - 1)
    assert least <= found.count("e0") / others <= most, found.count("e0") / others


@then("no shared part moved between the others")
def step_not_moved(context):
    after = homes(context.fleet, len(context.homes))
    for number, home in context.homes.items():
        assert after[number] == home or home == "e0", number


@given("{count:d} plain engines with {slots:d} slots")
def step_plain(context, count, slots):
    context.fleet = Fleet(count, 1, slots)
    context.policy = LeastLoaded()


def choose_plain(context, requests, name="r"):
    candidates = []
    for view, count in zip(context.fleet.table, requests, strict=True):
        view.own_load = EngineLoad(count)
        candidates.append(Candidate(view))
    request = replace(opaque_request(request_id=name), prompt=None)
    return context.policy.choose(request, candidates, "zone-1").view.engine_id


@then("of equally fast engines the one with the fewest requests is chosen")
def step_fewest(context):
    assert choose_plain(context, (1, 0, 2)) == "e1"
    assert choose_plain(context, (5, 7, 4)) == "e2"
    for number in range(50):
        name = f"r{number}"
        expected = max(("e0", "e1", "e2"), key=lambda e: rendezvous.weight(name.encode(), e))
        found = choose_plain(context, (3, 3, 3), name)
        least = min(("e0", "e1", "e2"), key=lambda e: rendezvous.weight(name.encode(), e))
        assert found == least != expected


@when("engine 0 takes {factor:g} times as long for its answers for {seconds:g} s")
def step_slow_answers(context, factor, seconds):
    context.fleet.work(seconds, {"e0": factor}, answers=True)


@then("engine 0 is chosen with 0 requests against {many:d} at the others, and not against {few:d}")
def step_plain_share(context, many, few):
    assert choose_plain(context, (0, many, many)) == "e0"
    assert choose_plain(context, (0, few, few)) != "e0"


@when("more than {nodes:d} nodes choose")
def step_many_nodes(context, nodes):
    context.policy = LeastLoaded(lambda: nodes + 1)


@then("{count:d} requests that find engine 1 idle don't all go there")
def step_spread(context, count):
    chosen = [choose_plain(context, (4, 0, 4), f"r{number}") for number in range(count)]
    assert 0.5 * count < chosen.count("e1") < 0.8 * count, chosen.count("e1")


@given("a route that declares pauses of {seconds:g} s at most")
def step_pause_target(context, seconds):
    context.fleet.speeds.pause_targets_s["service-1"] = seconds


@when("streams pause for as long as {tokens:d} tokens take to be read")
def step_pauses(context, tokens):
    fleet = context.fleet
    for _ in range(40):
        view = fleet.view(1)
        pause_s = EVENT_S + tokens / fleet.rate
        fleet.now += 0.05
        fleet.speeds.record_stream(view, 7, 6 * EVENT_S + pause_s, pause_s, fleet.now)
        fleet.changes += fleet.speeds.refresh(fleet.now)
    fleet.settle()


@when("{count:d} streams run at engine {number:d}")
def step_streams(context, count, number):
    for view in context.fleet.table:
        view.own_load.add(EngineLoad(count))


@when("{tokens:d} tokens wait at engine {number:d}")
def step_tokens_wait(context, tokens, number):
    context.fleet.view(number).own_load.waiting_tokens = tokens


def late_at(context, number, tokens):
    return context.fleet.speeds.late_streams(context.fleet.view(number), tokens, True)


@then("a prompt of {tokens:d} tokens makes more than {count:d} of them late, and none at engine 1")
def step_made_late(context, tokens, count):
    assert late_at(context, 0, tokens) > count, late_at(context, 0, tokens)
    assert late_at(context, 1, tokens) == 0.0, late_at(context, 1, tokens)


@then("a prompt of {tokens:d} tokens makes none late at engine {number:d}")
def step_none_late(context, tokens, number):
    assert late_at(context, number, tokens) == 0.0, late_at(context, number, tokens)


@given("{nodes:d} nodes in {zones:d} zones and {engines:d} engines, all of which served each node")
def step_bytes(context, nodes, zones, engines):
    context.fleet = Fleet(engines, 100_000)
    slow = {f"e{n}": 2.0 for n in range(0, engines, 4)}
    context.fleet.work(3, slow)
    context.receivers = (nodes if nodes <= 12 else -(-nodes // zones)) - 1


@then("a node sends at most {most:d} bytes a second of its own reports, in small datagrams")
def step_few_bytes(context, most):
    rows = tuple(context.fleet.speeds.own_rows(context.fleet.now))
    report = LoadReport(LoadScope.NODE, "node-1.example", "zone-1", {}, speeds=rows)
    sent = [d.SerializeToString() for d in datagrams_from_report(report, 1)]
    assert max(len(data) for data in sent) <= LARGEST_DATAGRAM_BYTES
    total = context.receivers * sum(len(data) for data in sent)
    print(f"{len(rows)} rows, {sum(map(len, sent))} bytes a report, {total} bytes a second")
    assert rows and total <= most, total
    received = [speeds_from_message(peer_pb2.Datagram.FromString(data)) for data in sent]
    found = [row for message in received for row in message.speeds]
    assert [row.engine for row in found] == [row.engine for row in rows]
    for before, after in zip(rows, found, strict=True):
        assert abs(after.prefill.pace_s / before.prefill.pace_s - 1.0) < 0.05


@given(
    "a simulation of {engines:d} engines of two speeds and {nodes:d} nodes"
    " at {load:g} of their read capacity"
)
def step_replay(context, engines, nodes, load):
    context.simulate = lambda mode: simulated(mode, engines, nodes, load)


@cache
def simulated(mode, engines, nodes, load):
    return [Simulation(mode, load, 8.0, nodes, engines, seed=seed).run() for seed in SEEDS]


@when("it runs with one speed for all, with merged reports, and with all speeds known")
def step_simulate(context):
    context.results = {mode: context.simulate(mode) for mode in ("one speed", "merged", "oracle")}
    for runs in context.results.values():
        for run in runs:
            print(run.figures())


def mean(context, mode, figure):
    return sum(figure(run) for run in context.results[mode]) / len(SEEDS)


@then(
    "the slow engines do work within {share:g} of their fair share with merged reports,"
    " and more with one speed"
)
def step_fair(context, share):
    work = {mode: mean(context, mode, lambda r: r.slow_work()[0]) for mode in context.results}
    fair = context.results["merged"][0].slow_work()[1]
    assert abs(work["merged"] / fair - 1.0) <= share, (work, fair)
    assert work["one speed"] > (1.0 + share) * fair, (work, fair)


@then(
    "the 99th percentile of the first event is at most {factor:g} times that with all speeds known"
)
def step_p99(context, factor):
    merged, oracle = (mean(context, m, lambda r: r.quantile(0.99)) for m in ("merged", "oracle"))
    assert merged <= factor * oracle, (merged, oracle)


@then("at most {factor:g} times as many answers are late as with one speed")
def step_late(context, factor):
    merged, one_speed = (
        mean(context, m, lambda r: r.late_share()) for m in ("merged", "one speed")
    )
    assert merged <= factor * one_speed, (merged, one_speed)


@then("no more than {factor:g} times as many tokens are reread")
def step_reread(context, factor):
    merged, one_speed = (
        mean(context, m, lambda r: r.reread_tokens) for m in ("merged", "one speed")
    )
    assert merged <= factor * one_speed, (merged, one_speed)
