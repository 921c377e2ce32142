"""Simulates a fleet whose workers crash, some under one request or part, in virtual time."""

import heapq
import itertools
import random
from dataclasses import dataclass, field, replace

from liftrill.coordination.crash_evidence import EARLY_END_S, CrashEvidence
from liftrill.coordination.lost_runs import LostRun
from liftrill.gateway.observed_runs import ServedParts

WORKERS = 6
REQUESTS_PER_S = 30.0
# Observed streams: the first event after 0.03 to 0.2 s, the end after 0.3 to 5 s.
FIRST_EVENT_S = (0.03, 0.2)
STREAM_S = (0.3, 5.0)
# The time from the send of the crash request to the crash of its worker.
CRASH_AFTER_S = (0.046, 0.093)
REPLACED_AFTER_S = 3.0
CALLER_RETRY_S = 0.35
MAX_SENDS = 6
DEADLY_PART = b"deadly part"
# Prompts share their first part, one of some popular parts, one of many rare parts, and a part
# that only a few requests of one session have.
POPULAR_PARTS, RARE_PARTS, SESSION_REQUESTS = 8, 400, 4


@dataclass
class Run:
    request: bytes
    worker: int
    sent_at: float
    first_event_at: float
    ends_at: float
    sends: int
    parts: tuple = ()


@dataclass
class Outcome:
    """The outcome of a simulated history."""

    requests: int = 0
    lost_runs: int = 0
    workers_crashed: int = 0
    quarantined: set = field(default_factory=set)
    refused: int = 0


class CrashFleet:
    """Simulates one history; all nodes share the evidence without delay."""

    def __init__(self, seed, isolates=True, has_parts=False):
        self.outcome = Outcome()
        self.evidence = CrashEvidence()
        self._random = random.Random(seed)
        self._isolates = isolates
        self._has_parts = has_parts
        self._served_parts = ServedParts()
        # By subject in quarantine: the parts without which requests are not refused.
        self._companions = {}
        self._ids = itertools.count(1)
        self._workers = {next(self._ids) for _ in range(WORKERS)}
        self._runs = {}
        self._events = []
        self._order = itertools.count()
        self._last_expired = 0.0

    def at(self, when, action, *arguments):
        heapq.heappush(self._events, (when, next(self._order), action, arguments))

    def run(self, seconds):
        at = 0.0
        while at < seconds:
            at += self._random.expovariate(REQUESTS_PER_S)
            self.at(at, self._arrive, f"request {next(self._ids)}".encode(), 1)
            self.outcome.requests += 1
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return self.outcome

    def repeat_deadly(self, seconds, gap_s):
        at = 1.0
        while at < seconds:
            self.at(at, self._arrive, b"deadly", MAX_SENDS)
            at += self._random.uniform(0.5, 1.5) * gap_s

    def send_deadly_part(self, seconds, gap_s):
        """Send requests with a part that crashes workers, each a request of its own."""
        at = 1.0
        while at < seconds:
            request = f"with part {next(self._ids)}".encode()
            self.at(at, self._arrive, request, MAX_SENDS, (*self._parts()[:2], DEADLY_PART))
            at += self._random.uniform(0.5, 1.5) * gap_s

    def _parts(self):
        if not self._has_parts:
            return ()
        session = next(self._ids) // SESSION_REQUESTS
        return (
            b"first",
            b"popular %d" % self._random.randrange(POPULAR_PARTS),
            b"rare %d" % self._random.randrange(RARE_PARTS),
            b"session %d" % session,
        )

    def crash(self, seconds, gap_s, share):
        at = 1.0
        while at < seconds:
            self.at(at, self._crash_some, share)
            at += self._random.uniform(*gap_s)

    def _crash_some(self, now, share):
        count = max(1, int(share * len(self._workers)))
        for worker in self._random.sample(sorted(self._workers), min(count, len(self._workers))):
            self._crash_worker(now, worker)

    def _arrive(self, now, request, sends, parts=None):
        parts = self._parts() if parts is None else parts
        if self._is_refused((request, *parts)):
            self.outcome.refused += DEADLY_PART not in parts
            return
        if not self._workers:
            return
        worker = self._choose(request)
        first = now + self._random.uniform(*FIRST_EVENT_S)
        run = Run(request, worker, now, first, now + self._random.uniform(*STREAM_S), sends, parts)
        if request == b"deadly" or DEADLY_PART in parts:
            run.first_event_at = float("inf")
            self.at(now + self._random.uniform(*CRASH_AFTER_S), self._crash_worker, worker)
        self._runs[id(run)] = run
        self.at(run.first_event_at + EARLY_END_S, self._survive, run)
        self.at(run.ends_at, self._finish, run)

    def _is_refused(self, subjects):
        found = (self._companions.get(subject) for subject in subjects)
        return any(c is not None and c.issubset(subjects) for c in found)

    def _choose(self, request):
        workers = sorted(self._workers)
        if not (self._isolates and self.evidence.is_suspect(request)):
            return self._random.choice(workers)
        load = dict.fromkeys(workers, 0)
        for run in self._runs.values():
            load[run.worker] += 1
        return min(workers, key=load.get)

    def _survive(self, now, run):
        if id(run) not in self._runs or run.first_event_at == float("inf"):
            return
        self._served_parts.record(run.parts, 1, now)
        for part in run.parts:
            self.evidence.clear(part, now, 1)
            self._companions.pop(part, None)

    def _finish(self, now, run):
        if self._runs.pop(id(run), None) is not None and run.first_event_at < float("inf"):
            self.evidence.clear(run.request, now)

    def _lost_run(self, run, early, now):
        parts = run.parts if early else ()
        lost = LostRun(run.request, run.worker, early, run.sent_at, now, parts, 1, 1)
        unserved = [part for part in parts if not self._served_parts.acquits(part, lost)]
        return replace(lost, parts=tuple(unserved))

    def _crash_worker(self, now, worker):
        if worker not in self._workers:
            return
        self._workers.discard(worker)
        self.at(now + REPLACED_AFTER_S, lambda _: self._workers.add(next(self._ids)))
        self.outcome.workers_crashed += 1
        lost = [run for run in self._runs.values() if run.worker == worker]
        self.evidence.record_end(worker, now)
        for run in lost:
            del self._runs[id(run)]
            early = now - run.first_event_at < EARLY_END_S
            self.evidence.add(self._lost_run(run, early, now))
            if run.request != b"deadly" and DEADLY_PART not in run.parts:
                self.outcome.lost_runs += 1
                if run.sends < MAX_SENDS:
                    retry_at = now + self._random.choice((0.005, CALLER_RETRY_S))
                    self.at(retry_at, self._arrive, run.request, run.sends + 1, run.parts)
        for subject in [subject for run in lost for subject in (run.request, *run.parts)]:
            if self.evidence.should_quarantine(subject):
                companions = self.evidence.companions(subject)
                self.outcome.quarantined.add(subject)
                self._companions[subject] = frozenset(companions)
                workers = [loss.worker for loss in self.evidence.losses(subject)]
                causes = (subject, *companions)
                self.evidence.mark_explained(workers, now, causes)
                self.evidence.clear(subject, now)
        if now - self._last_expired > 1.0:
            self._last_expired = now
            self.evidence.expire(now)
