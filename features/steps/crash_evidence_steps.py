"""Steps about what tells a deadly request from others, in virtual time."""

import random
import statistics
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from features.crash_fleet import CrashFleet
from liftrill.coordination.crash_evidence import (
    MAX_REQUESTS,
    RETENTION_S,
    CrashEvidence,
    LostRun,
)

# How long before its worker's end a run was sent.
SENT_BEFORE_S = 0.3


def name(letter):
    return letter.lower().encode()


def runs_of(word):
    """Return the runs that a word such as 1@2.5:Ab tells of, and when which worker ended."""
    place, _, letters = word.partition(":")
    worker, _, at = place.partition("@")
    number, ended_at = int(worker), float(at)
    runs = [
        LostRun(name(letter), number, letter.isupper(), ended_at - SENT_BEFORE_S, ended_at)
        for letter in letters
    ]
    return number, ended_at, runs


@given("these ends: {ends}")
def step_ends(context, ends):
    context.evidence = CrashEvidence()
    for word in ends.split():
        if word.endswith("!"):
            runs = context.evidence.runs(name(word[0]))
            context.evidence.mark_explained([run.worker for run in runs], runs[-1].ended_at)
        elif "+" in word:
            letter, _, at = word.partition("+")
            context.evidence.clear(name(letter), float(at))
        else:
            worker, ended_at, runs = runs_of(word)
            context.evidence.record_end(worker, ended_at)
            for run in runs:
                context.evidence.add(run)


@then('the request "{letter}" is {judged}')
def step_judged(context, letter, judged):
    assert context.evidence.should_quarantine(name(letter)) == (judged == "condemned")


def judged(runs):
    evidence = CrashEvidence()
    for run in runs:
        evidence.add(run)
    return {
        fingerprint: evidence.should_quarantine(fingerprint) for fingerprint in (b"a", b"b", b"c")
    }


def random_runs(draw):
    found = []
    for worker in range(draw.randint(2, 6)):
        at = draw.uniform(0.0, 12.0)
        for letter in draw.sample("abc", draw.randint(1, 3)):
            sent_at = at - draw.uniform(0.01, 3.0)
            found.append(LostRun(letter.encode(), worker, draw.random() < 0.6, sent_at, at))
        # Several runs of one request on one worker are told by several nodes.
        twice = draw.choice(found)
        found.append(replace(twice, early=draw.random() < 0.6, sent_at=twice.sent_at - 0.1))
    return found


@then("{count:d} random histories are judged alike in any order and when told twice")
def step_any_order(context, count):
    condemned = 0
    for seed in range(count):
        draw = random.Random(seed)
        runs = random_runs(draw)
        expected = judged(runs)
        condemned += any(expected.values())
        told = runs + draw.sample(runs, len(runs) // 2)
        draw.shuffle(told)
        assert judged(told) == expected, seed
    assert 0 < condemned < count, condemned


@when("{count:d} requests were lost with engines, one each")
def step_many(context, count):
    context.evidence = CrashEvidence()
    for number in range(count):
        request = number.to_bytes(16, "big")
        context.evidence.add(LostRun(request, number, True, 0.0, 1.0))


@then("no more than {count:d} are remembered, and none {seconds:g} s later")
def step_bounded(context, count, seconds):
    assert len(context.evidence) == count == MAX_REQUESTS
    context.evidence.expire(RETENTION_S)
    assert len(context.evidence) == count
    context.evidence.expire(1.0 + seconds)
    assert len(context.evidence) == 0


@when("a request that ends workers comes back every second for {seconds:g} s, {times:d} times")
def step_comes_back(context, seconds, times):
    context.outcomes = []
    for seed in range(times):
        fleet = CrashFleet(seed)
        fleet.come_back(seconds, 1.0)
        context.outcomes.append(fleet.play(seconds))


@then("it ends {count:d} workers, {most:d} at the most, and no other request is condemned")
def step_ended(context, count, most):
    ended = [outcome.workers_ended for outcome in context.outcomes]
    lost = sum(outcome.lost_runs for outcome in context.outcomes)
    print(f"{Counter(ended)} ended, {lost} runs of others lost")
    assert statistics.median(ended) == count and max(ended) <= most, ended
    for outcome in context.outcomes:
        assert outcome.condemned == {b"deadly"}, outcome


@when(
    "a third of the workers crashes every {shortest:g} to {longest:g} s for {seconds:g} s, "
    "{times:d} times"
)
def step_crashes(context, shortest, longest, seconds, times):
    context.outcomes = []
    for seed in range(times):
        fleet = CrashFleet(seed)
        fleet.crash(seconds, (shortest, longest), 1 / 3)
        context.outcomes.append(fleet.play(seconds))


@then("at most 1 in {count} requests is condemned")
def step_nobody(context, count):
    condemned = sum(len(outcome.condemned) for outcome in context.outcomes)
    requests = sum(outcome.requests for outcome in context.outcomes)
    lost = sum(outcome.lost_runs for outcome in context.outcomes)
    told = f"{condemned} condemned of {requests}, {lost} runs lost"
    print(told)
    assert requests > 100_000 and lost > 1_000, told
    assert condemned * int(count.replace(",", "")) <= requests, told
