"""Keeps requests under which engines end from further engines, at all nodes.

A node that loses a run asks whether its engine ended. If so it tells all nodes of the runs
that it had there, and each node judges them alike. Requests that engines end under are
refused for a time, which the store keeps for nodes that start, slept or were cut off.
"""

import time
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from liftrill.coordination.crash_evidence import EARLY_S, CrashEvidence, LostRun
from liftrill.errors import ResultCode
from liftrill.gateway.admission.request_admission import AdmissionRefusal
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery import AttemptTimes
from liftrill.gateway.engines.engine_table import EngineTable, EngineView, engine_number
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.quarantine_list import QuarantineEntry, QuarantineList
from liftrill.gateway.quarantine_ports import QuarantineKeeper, QuarantinePeers
from liftrill.gateway.served_requests import ServedRequests

# How long before its engine was found to have ended a run may have been lost: a connection
# that is refused tells it within milliseconds, one over a slow link later (guess).
LOST_BEFORE_S = 0.5
# How long a request waits for its judgement once enough engines ended under it: by then all
# nodes have told what else they lost with the last one (a datagram takes some milliseconds).
JUDGED_AFTER_S = 0.1


@dataclass(frozen=True, slots=True)
class _Loss:
    """A run that this node lost, and whose it was."""

    run: LostRun
    route: str
    tenant: str


@dataclass(slots=True)
class Quarantine:
    """What one node knows of requests under which engines end.

    Attributes:
        entries: the requests that are kept from engines, or were.
        peers: how to tell other nodes.
        keeper: where entries outlive this process.
    """

    engines: EngineTable
    log: DecisionLog
    metrics: GatewayMetrics
    peers: QuarantinePeers
    keeper: QuarantineKeeper
    entries: QuarantineList = field(default_factory=QuarantineList)
    _evidence: CrashEvidence = field(default_factory=CrashEvidence)
    _served: ServedRequests = field(default_factory=ServedRequests)
    # By engine: runs lost or given up there lately, whose engine is not known to have ended.
    _losses: dict[int, list[_Loss]] = field(default_factory=dict)
    # By engine that ended: its name.
    _ended: dict[int, str] = field(default_factory=dict)
    # By fingerprint: a run of a suspect that this node lost itself.
    _own: dict[bytes, _Loss] = field(default_factory=dict)
    # By fingerprint: when a request that may be condemned is judged.
    _judged_at: dict[bytes, float] = field(default_factory=dict)

    # What requests ask

    def check(self, request: OpaqueRequest) -> AdmissionRefusal | None:
        """Return why a request is refused, if engines end under it."""
        left_s = self.left_s(request)
        if not left_s:
            return None
        why = f"{request.fingerprint.hex()}: engines ended under it"
        return AdmissionRefusal(ResultCode.REQUEST_QUARANTINED, left_s, why)

    def left_s(self, request: OpaqueRequest) -> float:
        """Return for how long a request is sent to no engine, or 0."""
        # Nothing is hashed while the list is empty.
        if not len(self.entries):
            return 0.0
        return self.entries.left_s(request.fingerprint, time.time())

    def is_suspect(self, request: OpaqueRequest) -> bool:
        """Return whether an engine ended under a request, or it was in quarantine once."""
        if not len(self._evidence) and not len(self.entries):
            return False
        fingerprint = request.fingerprint
        return self._evidence.is_suspect(fingerprint) or self.entries.get(fingerprint) is not None

    def is_judged(self, request: OpaqueRequest, now: float) -> bool:
        """Return whether a request need not wait for a judgement; make it if it is due."""
        if not self._judged_at:
            return True
        judged_at = self._judged_at.get(request.fingerprint)
        if judged_at is None:
            return True
        if now < judged_at:
            return False
        self._judge(request.fingerprint, now)
        return True

    # What this node sees

    def run_lost(
        self, request: OpaqueRequest, view: EngineView, times: AttemptTimes, now: float
    ) -> None:
        """Note that a run broke, or was given up: its engine may be found to have ended."""
        first = times.first_event_at
        early = first is None or now - first < EARLY_S
        run = LostRun(request.fingerprint, view.number, early, times.sent_at, now)
        loss = _Loss(run, request.route.name, request.tenant)
        if self.knows_end(view):
            self._take_losses([loss], now)
        else:
            self._losses.setdefault(view.number, []).append(loss)

    def knows_end(self, view: EngineView) -> bool:
        """Return whether an engine is known to have ended."""
        return self._evidence.knows_end(view.number)

    def engine_ended(self, view: EngineView, now: float) -> None:
        """Note that an engine has ended, and judge what was lost with it here."""
        self._note_end(view.number, "refused", now, view.record.incarnation)

    def incarnation_ended(self, view: EngineView, now: float) -> None:
        """Note that an engine has started again, so that its former incarnation has ended."""
        self._note_end(view.number, "started again", now, view.record.incarnation)

    def served(self, request: OpaqueRequest, now: float) -> None:
        """Note that an engine served a request: it is no suspect any more."""
        self._served.note(request, now)
        if not self.is_suspect(request):
            return
        self._clear(request.fingerprint, now)
        self.peers.tell_served(request.fingerprint)

    # What other nodes and the store tell

    def hear_lost(self, node: str, runs: Iterable[LostRun], now: float) -> None:
        """Take in runs that another node lost with engines that ended."""
        for run in runs:
            self._note_end(run.worker, node, now)
            known = self.entries.get(run.fingerprint)
            if known is not None and self.entries.left_s(run.fingerprint, time.time()):
                self._evidence.explain([run.worker], now)
                if self._evidence.add(run):
                    # It sent what is kept from engines: it has not heard.
                    self._settle(run.fingerprint, now)
                    self.peers.tell_quarantined(known, node)
            elif self._evidence.add(run) and not self._is_known_good(run, now):
                self._consider(run, now)

    def hear_served(self, fingerprint: bytes, now: float) -> None:
        """Take in that another node saw a suspect served."""
        self._clear(fingerprint, now)

    def hear_quarantined(self, entry: QuarantineEntry, now: float) -> None:
        """Take in that another node keeps a request from engines."""
        own = self._own.pop(entry.fingerprint, None)
        if own is not None and not entry.route:
            entry = replace(entry, route=own.route, tenant=own.tenant)
        if self._put_if_later(entry, "peer", now):
            self.keeper.keep(entry, at_once=own is not None)

    def hear_record(self, entry: QuarantineEntry, now: float) -> None:
        """Take in what the store keeps of a request."""
        self._put_if_later(entry, "store", now)

    def record_lost(self, fingerprint: bytes) -> None:
        """Write an entry again whose record the store has lost."""
        entry = self.entries.get(fingerprint)
        if entry is not None:
            self.keeper.keep(entry, at_once=False)

    def release(self, fingerprint: bytes, now: float) -> None:
        """Let a request go whose record an operator, or a node that saw it served, removed."""
        if self.entries.remove(fingerprint):
            self._evidence.clear(fingerprint, now)
            # What other nodes were about to write after this one must not bring it back.
            self.keeper.drop(fingerprint)
            self.log.state_changed("quarantine_released", fingerprint=fingerprint.hex())

    def expire(self, now: float) -> None:
        """Forget what is old."""
        self._evidence.expire(now)
        for fingerprint, judged_at in list(self._judged_at.items()):
            if now >= judged_at:
                self._judge(fingerprint, now)
        for fingerprint in [name for name in self._own if not self._evidence.runs(name)]:
            del self._own[fingerprint]
        for number, losses in list(self._losses.items()):
            left = [loss for loss in losses if now - loss.run.ended_at <= LOST_BEFORE_S]
            if left:
                self._losses[number] = left
            else:
                del self._losses[number]
        for number in [n for n in self._ended if not self._evidence.knows_end(n)]:
            del self._ended[number]
        for entry in self.entries.forgotten(time.time()):
            self.entries.remove(entry.fingerprint)
            self.keeper.drop(entry.fingerprint)
        self.metrics.quarantined.set(self.entries.in_force(time.time()))

    # Judging

    def _note_end(self, number: int, source: str, now: float, name: str = "") -> None:
        """Note that an engine ended, and take what was lost with it here for evidence."""
        if number in self._ended:
            return
        # Its record may be gone when its name is asked for.
        self._ended[number] = name or self._engine_name(number)
        self._evidence.note_end(number, now)
        losses = self._losses.pop(number, [])
        self.metrics.engine_ends.inc()
        self.log.state_changed(
            "engine_ended",
            engine=self._engine_name(number),
            source=source,
            lost=len(losses),
            early=[loss.run.fingerprint.hex() for loss in losses if loss.run.early],
        )
        self._take_losses(losses, now)

    def _take_losses(self, losses: list[_Loss], now: float) -> None:
        """Take runs that this node lost with an engine that ended for evidence, and tell it."""
        fresh = [loss for loss in losses if now - loss.run.ended_at <= LOST_BEFORE_S]
        # Popular requests would be told by many nodes, and cleared by as many.
        doubtful = [loss for loss in fresh if not self._serves(loss.run)]
        news = [loss for loss in doubtful if self._evidence.add(loss.run)]
        if news:
            self.peers.tell_lost([loss.run for loss in news])
        for loss in news:
            self._own[loss.run.fingerprint] = loss
            self._consider(loss.run, now)

    def _serves(self, run: LostRun) -> bool:
        """Return whether engines served lately, for this node, what a run asked.

        What many callers ask is under way at most engines that end, whatever ends them.
        """
        return run.early and self._served.has_served(run.fingerprint, run.ended_at)

    def _is_known_good(self, run: LostRun, now: float) -> bool:
        """Return whether engines serve what another node's run asked; if so clear it at all."""
        if not self._serves(run):
            return False
        self._clear(run.fingerprint, now)
        self.peers.tell_served(run.fingerprint)
        return True

    def _consider(self, run: LostRun, now: float) -> None:
        """Have a request judged if enough engines ended under it."""
        fingerprint = run.fingerprint
        if self.entries.left_s(fingerprint, time.time()):
            self._settle(fingerprint, now)
        elif self._has_returned(run) or self._evidence.may_condemn(fingerprint):
            self._judged_at[fingerprint] = now + JUDGED_AFTER_S

    def _has_returned(self, run: LostRun) -> bool:
        """Return whether an engine ended again under a request whose time was over."""
        return run.early and self.entries.get(run.fingerprint) is not None

    def _judge(self, fingerprint: bytes, now: float) -> None:
        """Put a request into quarantine if engines end under it."""
        del self._judged_at[fingerprint]
        runs = self._evidence.runs(fingerprint)
        if not runs:
            return
        if not self._has_returned(runs[-1]) and not self._evidence.condemns(fingerprint):
            return
        loss = self._own.pop(fingerprint, None)
        entry = self.entries.next_entry(fingerprint, time.time())
        names = [self._engine_name(run.worker) for run in runs]
        entry = replace(entry, engines=tuple(names))
        if loss is not None:
            entry = replace(entry, route=loss.route, tenant=loss.tenant)
        self._put_if_later(entry, "evidence", now)
        # Nodes that lost it themselves are few: they write and tell at once.
        self.keeper.keep(entry, at_once=loss is not None)
        if loss is not None:
            self.peers.tell_quarantined(entry)

    def _put_if_later(self, entry: QuarantineEntry, source: str, now: float) -> bool:
        """Take in an entry, and return whether the request was not known for it."""
        known = self.entries.get(entry.fingerprint)
        if known is not None and known.times > entry.times:
            return False
        self.entries.put(entry)
        self._settle(entry.fingerprint, now)
        is_news = known is None or known.times < entry.times
        if is_news:
            self._log_entry(entry, source)
        return is_news

    def _settle(self, fingerprint: bytes, now: float) -> None:
        """Count the ends under a request in quarantine as its doing, and as told of."""
        entry = self.entries.get(fingerprint)
        named = (engine_number(name) for name in entry.engines) if entry else ()
        seen = (run.worker for run in self._evidence.runs(fingerprint))
        self._evidence.explain({*named, *seen}, now)
        self._evidence.clear(fingerprint, now)

    def _clear(self, fingerprint: bytes, now: float) -> None:
        was_suspect = self._evidence.clear(fingerprint, now)
        in_force = self.entries.left_s(fingerprint, time.time()) > 0
        was_listed = not in_force and self.entries.remove(fingerprint)
        if was_listed:
            self.keeper.drop(fingerprint)
        if was_suspect or was_listed:
            self.log.state_changed("suspect_served", fingerprint=fingerprint.hex())

    def _engine_name(self, number: int) -> str:
        """Return an engine's name, or its number where it is not known here."""
        if number in self._ended:
            return self._ended[number]
        view = self.engines.by_number(number)
        return view.record.incarnation if view else f"{number:016x}"

    def _log_entry(self, entry: QuarantineEntry, source: str) -> None:
        self.log.state_changed(
            "request_quarantined",
            fingerprint=entry.fingerprint.hex(),
            source=source,
            route=entry.route,
            tenant=entry.tenant,
            engines=entry.engines,
            times=entry.times,
            left_s=round(entry.until_unix_s - time.time(), 1),
        )
