"""Steps on evidence that a request crashes engines, in virtual time."""

import random
import statistics
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from features.crash_fleet import DEADLY_PART, CrashFleet
from liftrill.coordination.crash_evidence import (
    MAX_SUBJECTS,
    RETENTION_S,
    CrashEvidence,
)
from liftrill.coordination.lost_runs import LostRun

# The time from the send of a run to the crash of its worker.
SENT_BEFORE_S = 0.3


def name(letter):
    return letter.lower().encode()


def parse_crash(crash):
    """Parse a crash such as 1@2.5:Ab into its worker, its time and the runs lost in it."""
    place, _, letters = crash.partition(":")
    worker, _, at = place.partition("@")
    number, ended_at = int(worker), float(at)
    runs = [
        LostRun(name(letter), number, letter.isupper(), ended_at - SENT_BEFORE_S, ended_at)
        for letter in letters
    ]
    return number, ended_at, runs


@given("these crashes: {crashes}")
def step_crashes_listed(context, crashes):
    context.evidence = CrashEvidence()
    for crash in crashes.split():
        if crash.endswith("!"):
            runs = context.evidence.losses(name(crash[0]))
            context.evidence.mark_explained([run.worker for run in runs], runs[-1].ended_at)
        elif "+" in crash:
            letter, _, at = crash.partition("+")
            context.evidence.clear(name(letter), float(at))
        else:
            worker, ended_at, runs = parse_crash(crash)
            context.evidence.record_end(worker, ended_at)
            for run in runs:
                context.evidence.add(run)


@then('the request "{letter}" is {verdict}')
def step_verdict(context, letter, verdict):
    assert context.evidence.should_quarantine(name(letter)) == (verdict == "quarantined")


def verdicts(runs):
    evidence = CrashEvidence()
    for run in runs:
        evidence.add(run)
    return {
        fingerprint: evidence.should_quarantine(fingerprint) for fingerprint in (b"a", b"b", b"c")
    }


def random_runs(draw):
    runs = []
    for worker in range(draw.randint(2, 6)):
        at = draw.uniform(0.0, 12.0)
        for letter in draw.sample("abc", draw.randint(1, 3)):
            sent_at = at - draw.uniform(0.01, 3.0)
            runs.append(LostRun(letter.encode(), worker, draw.random() < 0.6, sent_at, at))
        # Several nodes report runs of the same request on the same worker.
        again = draw.choice(runs)
        runs.append(replace(again, early=draw.random() < 0.6, sent_at=again.sent_at - 0.1))
    return runs


@then("{count:d} random histories get the same verdict in any order and with repetitions")
def step_any_order(context, count):
    quarantined = 0
    for seed in range(count):
        draw = random.Random(seed)
        runs = random_runs(draw)
        expected = verdicts(runs)
        quarantined += any(expected.values())
        repeated = runs + draw.sample(runs, len(runs) // 2)
        draw.shuffle(repeated)
        assert verdicts(repeated) == expected, seed
    assert 0 < quarantined < count, quarantined


@when("{count:d} requests were lost, each with another engine")
def step_many(context, count):
    context.evidence = CrashEvidence()
    for number in range(count):
        request = number.to_bytes(16, "big")
        context.evidence.add(LostRun(request, number, True, 0.0, 1.0))


@then("no more than {count:d} are remembered, and none {seconds:g} s later")
def step_bounded(context, count, seconds):
    assert len(context.evidence) == count == MAX_SUBJECTS
    context.evidence.expire(RETENTION_S)
    assert len(context.evidence) == count
    context.evidence.expire(1.0 + seconds)
    assert len(context.evidence) == 0


@when("a request that crashes workers is repeated every second for {seconds:g} s, {times:d} times")
def step_repeated(context, seconds, times):
    context.outcomes = []
    for seed in range(times):
        fleet = CrashFleet(seed)
        fleet.repeat_deadly(seconds, 1.0)
        context.outcomes.append(fleet.run(seconds))


@then("it crashes {count:d} workers, {most:d} at the most, and no other request is quarantined")
def step_few_crashed(context, count, most):
    crashed = [outcome.workers_crashed for outcome in context.outcomes]
    lost = sum(outcome.lost_runs for outcome in context.outcomes)
    print(f"{Counter(crashed)} workers crashed, {lost} runs of others lost")
    assert statistics.median(crashed) == count and max(crashed) <= most, crashed
    for outcome in context.outcomes:
        assert outcome.quarantined == {b"deadly"}, outcome


@when(
    "a third of the workers crashes every {shortest:g} to {longest:g} s for {seconds:g} s, "
    "{times:d} times"
)
def step_crashes(context, shortest, longest, seconds, times):
    context.outcomes = []
    for seed in range(times):
        fleet = CrashFleet(seed)
        fleet.crash(seconds, (shortest, longest), 1 / 3)
        context.outcomes.append(fleet.run(seconds))


@then("at most 1 in {count} requests is quarantined")
def step_almost_none(context, count):
    quarantined = sum(len(outcome.quarantined) for outcome in context.outcomes)
    requests = sum(outcome.requests for outcome in context.outcomes)
    lost = sum(outcome.lost_runs for outcome in context.outcomes)
    summary = f"{quarantined} quarantined of {requests}, {lost} runs lost"
    print(summary)
    assert requests > 100_000 and lost > 1_000, summary
    assert quarantined * int(count.replace(",", "")) <= requests, summary


@when(
    "requests with a part that crashes workers are sent every second for {seconds:g} s, "
    "{times:d} times"
)
def step_part_sent(context, seconds, times):
    context.outcomes = []
    for seed in range(times):
        fleet = CrashFleet(seed, has_parts=True)
        fleet.send_deadly_part(seconds, 1.0)
        context.outcomes.append(fleet.run(seconds))


@then("it crashes {count:d} workers, {most:d} at the most, and nothing but the part is quarantined")
def step_only_part(context, count, most):
    crashed = [outcome.workers_crashed for outcome in context.outcomes]
    print(f"{Counter(crashed)} workers crashed")
    assert statistics.median(crashed) == count and max(crashed) <= most, crashed
    for outcome in context.outcomes:
        assert outcome.quarantined == {DEADLY_PART} and not outcome.refused, outcome


@when(
    "a third of the workers crashes every {shortest:g} to {longest:g} s for {seconds:g} s "
    "beside prompts with parts, {times:d} times"
)
def step_crashes_with_parts(context, shortest, longest, seconds, times):
    context.outcomes = []
    for seed in range(times):
        fleet = CrashFleet(seed, has_parts=True)
        fleet.crash(seconds, (shortest, longest), 1 / 3)
        context.outcomes.append(fleet.run(seconds))


@then("no part of prompts is quarantined")
def step_no_part(context):
    crashed = sum(outcome.workers_crashed for outcome in context.outcomes)
    assert crashed > 1000, crashed
    for outcome in context.outcomes:
        parts = [name for name in outcome.quarantined if not name.startswith(b"request")]
        assert not parts, parts
