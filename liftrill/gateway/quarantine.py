"""Stops requests that crash engines from being sent to further engines, by all nodes.

A node that loses a run checks whether the engine has ended. If it has, the node informs all nodes
which runs it had there, and every node draws the same conclusion from them. Requests that crash
engines are refused for a time. The store records this for nodes that start, were suspended or
were cut off.
"""

import time
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from liftrill.coordination.crash_evidence import EARLY_END_S, CrashEvidence, LostRun
from liftrill.errors import ResultCode
from liftrill.gateway.admission.request_admission import AdmissionRefusal
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery_times import AttemptTimes
from liftrill.gateway.engines.engine_table import EngineTable, EngineView, engine_number
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.quarantine_list import QuarantineEntry, QuarantineList
from liftrill.gateway.quarantine_ports import QuarantinePeers, QuarantineStorage
from liftrill.gateway.served_requests import ServedRequests

# How long before its engine was found to have ended a run may have been lost: a refused connection
# shows the end within milliseconds, over a slow link later.
LOSS_WINDOW_S = 0.5
# How long a request is held once enough engines ended during it, until its case is decided: by then
# all nodes have reported what they lost with the last engine (a datagram takes milliseconds).
DECISION_DELAY_S = 0.1


@dataclass(frozen=True, slots=True)
class _LocalLoss:
    """A run that this node lost, and the route and tenant of its request."""

    run: LostRun
    route: str
    tenant: str


@dataclass(slots=True)
class Quarantine:
    """State of one node about requests that crash engines.

    Attributes:
        entries: the requests that are or were in quarantine.
        peers: reports to other nodes.
        storage: persists entries beyond the end of this process.
    """

    engines: EngineTable
    log: DecisionLog
    metrics: GatewayMetrics
    peers: QuarantinePeers
    storage: QuarantineStorage
    entries: QuarantineList = field(default_factory=QuarantineList)
    _evidence: CrashEvidence = field(default_factory=CrashEvidence)
    _served_requests: ServedRequests = field(default_factory=ServedRequests)
    # By engine: runs lost or abandoned there recently, while the engine is not known to have ended.
    _losses: dict[int, list[_LocalLoss]] = field(default_factory=dict)
    # By engine that has ended: its name.
    _ended_engines: dict[int, str] = field(default_factory=dict)
    # By fingerprint: a run of a suspect request that this node itself lost.
    _own_losses: dict[bytes, _LocalLoss] = field(default_factory=dict)
    # By fingerprint: when it is decided whether a suspect request is put into quarantine.
    _decide_at: dict[bytes, float] = field(default_factory=dict)

    # Queries about requests

    def check(self, request: OpaqueRequest) -> AdmissionRefusal | None:
        """Return the refusal of a request in quarantine, or None."""
        remaining_s = self.remaining_s(request)
        if not remaining_s:
            return None
        why = f"{request.fingerprint.hex()}: engines crashed while they ran it"
        return AdmissionRefusal(ResultCode.REQUEST_QUARANTINED, remaining_s, why)

    def remaining_s(self, request: OpaqueRequest) -> float:
        """Return for how long a request remains in quarantine, or 0."""
        # Without entries no fingerprint needs to be computed.
        if not len(self.entries):
            return 0.0
        return self.entries.remaining_s(request.fingerprint, time.time())

    def is_suspect(self, request: OpaqueRequest) -> bool:
        """Return whether an engine ended early in a request, or it ever was in quarantine."""
        if not len(self._evidence) and not len(self.entries):
            return False
        fingerprint = request.fingerprint
        return self._evidence.is_suspect(fingerprint) or self.entries.get(fingerprint) is not None

    def is_decided(self, request: OpaqueRequest, now: float) -> bool:
        """Return whether no decision on a request is pending; decide it first if that is due."""
        if not self._decide_at:
            return True
        decide_at = self._decide_at.get(request.fingerprint)
        if decide_at is None:
            return True
        if now < decide_at:
            return False
        self._decide(request.fingerprint, now)
        return True

    # Observations of this node

    def run_lost(
        self, request: OpaqueRequest, view: EngineView, times: AttemptTimes, now: float
    ) -> None:
        """Record that a run was interrupted or abandoned, in case its engine has ended."""
        first = times.first_event_at
        early = first is None or now - first < EARLY_END_S
        run = LostRun(request.fingerprint, view.number, early, times.sent_at, now)
        loss = _LocalLoss(run, request.route.name, request.tenant)
        if self.knows_end(view):
            self._add_losses([loss], now)
        else:
            self._losses.setdefault(view.number, []).append(loss)

    def knows_end(self, view: EngineView) -> bool:
        """Return whether an engine is known to have ended."""
        return self._evidence.has_ended(view.number)

    def engine_ended(self, view: EngineView, now: float) -> None:
        """Record that an engine has ended, with the runs that this node lost there."""
        self._record_end(view.number, "refused", now, view.record.incarnation)

    def incarnation_ended(self, view: EngineView, now: float) -> None:
        """Record that an engine has restarted, so that its former incarnation has ended."""
        self._record_end(view.number, "started again", now, view.record.incarnation)

    def served(self, request: OpaqueRequest, now: float) -> None:
        """Record that an engine served a request, which clears it of suspicion."""
        self._served_requests.record(request, now)
        if not self.is_suspect(request):
            return
        self._clear(request.fingerprint, now)
        self.peers.send_served(request.fingerprint)

    # Reports of other nodes and of the store

    def apply_lost_runs(self, node: str, runs: Iterable[LostRun], now: float) -> None:
        """Add runs that another node lost with engines that ended."""
        for run in runs:
            self._record_end(run.worker, node, now)
            known = self.entries.get(run.fingerprint)
            if known is not None and self.entries.remaining_s(run.fingerprint, time.time()):
                self._evidence.mark_explained([run.worker], now)
                if self._evidence.add(run):
                    # The node sent a quarantined request, so it does not know of the quarantine.
                    self._attribute_ends(run.fingerprint, now)
                    self.peers.send_quarantined(known, node)
            elif self._evidence.add(run) and not self._clear_if_served(run, now):
                self._schedule_decision(run, now)

    def apply_served(self, fingerprint: bytes, now: float) -> None:
        """Clear a suspect request that was served, as another node reports."""
        self._clear(fingerprint, now)

    def apply_quarantined(self, entry: QuarantineEntry, now: float) -> None:
        """Add an entry for a request that another node put into quarantine."""
        own_loss = self._own_losses.pop(entry.fingerprint, None)
        if own_loss is not None and not entry.route:
            entry = replace(entry, route=own_loss.route, tenant=own_loss.tenant)
        if self._put_if_newer(entry, "peer", now):
            self.storage.save(entry, at_once=own_loss is not None)

    def apply_record(self, entry: QuarantineEntry, now: float) -> None:
        """Add an entry that the store has."""
        self._put_if_newer(entry, "store", now)

    def record_lost(self, fingerprint: bytes) -> None:
        """Write an entry again after the store lost its record."""
        entry = self.entries.get(fingerprint)
        if entry is not None:
            self.storage.save(entry, at_once=False)

    def release(self, fingerprint: bytes, now: float) -> None:
        """Release a request whose record was deleted by an operator or after it was served."""
        if self.entries.remove(fingerprint):
            self._evidence.clear(fingerprint, now)
            # A pending write, here or at another node, must not restore the record.
            self.storage.delete(fingerprint)
            self.log.state_changed("quarantine_released", fingerprint=fingerprint.hex())

    def expire(self, now: float) -> None:
        """Make due decisions, and remove entries and evidence that are too old."""
        self._evidence.expire(now)
        for fingerprint, decide_at in list(self._decide_at.items()):
            if now >= decide_at:
                self._decide(fingerprint, now)
        for fingerprint in [name for name in self._own_losses if not self._evidence.runs(name)]:
            del self._own_losses[fingerprint]
        for number, losses in list(self._losses.items()):
            remaining = [loss for loss in losses if now - loss.run.ended_at <= LOSS_WINDOW_S]
            if remaining:
                self._losses[number] = remaining
            else:
                del self._losses[number]
        for number in [n for n in self._ended_engines if not self._evidence.has_ended(n)]:
            del self._ended_engines[number]
        for entry in self.entries.past_retention(time.time()):
            self.entries.remove(entry.fingerprint)
            self.storage.delete(entry.fingerprint)
        self.metrics.quarantined.set(self.entries.in_force(time.time()))

    # Decisions

    def _record_end(self, number: int, source: str, now: float, name: str = "") -> None:
        """Record that an engine ended, and use this node's losses there as evidence."""
        if number in self._ended_engines:
            return
        # The engine's record may be deleted by the time that its name is needed.
        self._ended_engines[number] = name or self._engine_name(number)
        self._evidence.record_end(number, now)
        losses = self._losses.pop(number, [])
        self.metrics.engine_ends.inc()
        self.log.state_changed(
            "engine_ended",
            engine=self._engine_name(number),
            source=source,
            lost=len(losses),
            early=[loss.run.fingerprint.hex() for loss in losses if loss.run.early],
        )
        self._add_losses(losses, now)

    def _add_losses(self, losses: list[_LocalLoss], now: float) -> None:
        """Add runs that this node lost with an ended engine as evidence, and report them."""
        recent = [loss for loss in losses if now - loss.run.ended_at <= LOSS_WINDOW_S]
        # Runs of popular requests would be reported by many nodes, and cleared by as many.
        suspicious = [loss for loss in recent if not self._was_served_recently(loss.run)]
        added = [loss for loss in suspicious if self._evidence.add(loss.run)]
        if added:
            self.peers.send_lost_runs([loss.run for loss in added])
        for loss in added:
            self._own_losses[loss.run.fingerprint] = loss
            self._schedule_decision(loss.run, now)

    def _was_served_recently(self, run: LostRun) -> bool:
        """Return whether engines recently served this node the same request as a lost run's.

        A request that many callers send is running on most engines that end, whatever the cause.
        """
        return run.early and self._served_requests.has_served(run.fingerprint, run.ended_at)

    def _clear_if_served(self, run: LostRun, now: float) -> bool:
        """Clear a request that another node lost if this node had it served; return whether so."""
        if not self._was_served_recently(run):
            return False
        self._clear(run.fingerprint, now)
        self.peers.send_served(run.fingerprint)
        return True

    def _schedule_decision(self, run: LostRun, now: float) -> None:
        """Schedule the decision on a request if enough engines ended during it."""
        fingerprint = run.fingerprint
        if self.entries.remaining_s(fingerprint, time.time()):
            self._attribute_ends(fingerprint, now)
        elif self._ended_engine_again(run) or self._evidence.reaches_quarantine_threshold(
            fingerprint
        ):
            self._decide_at[fingerprint] = now + DECISION_DELAY_S

    def _ended_engine_again(self, run: LostRun) -> bool:
        """Return whether an engine ended early in a request that was in quarantine before."""
        return run.early and self.entries.get(run.fingerprint) is not None

    def _decide(self, fingerprint: bytes, now: float) -> None:
        """Put a request into quarantine if the evidence shows that it crashes engines."""
        del self._decide_at[fingerprint]
        runs = self._evidence.runs(fingerprint)
        if not runs:
            return
        if not self._ended_engine_again(runs[-1]) and not self._evidence.should_quarantine(
            fingerprint
        ):
            return
        loss = self._own_losses.pop(fingerprint, None)
        entry = self.entries.next_entry(fingerprint, time.time())
        names = [self._engine_name(run.worker) for run in runs]
        entry = replace(entry, engines=tuple(names))
        if loss is not None:
            entry = replace(entry, route=loss.route, tenant=loss.tenant)
        self._put_if_newer(entry, "evidence", now)
        # Only few nodes lost it themselves, so these write the record and report it at once.
        self.storage.save(entry, at_once=loss is not None)
        if loss is not None:
            self.peers.send_quarantined(entry)

    def _put_if_newer(self, entry: QuarantineEntry, source: str, now: float) -> bool:
        """Add an entry unless a newer one is known; return whether it is newer than the known."""
        known = self.entries.get(entry.fingerprint)
        if known is not None and known.quarantine_count > entry.quarantine_count:
            return False
        self.entries.put(entry)
        self._attribute_ends(entry.fingerprint, now)
        is_new = known is None or known.quarantine_count < entry.quarantine_count
        if is_new:
            self._log_entry(entry, source)
        return is_new

    def _attribute_ends(self, fingerprint: bytes, now: float) -> None:
        """Attribute the engines that ended during a quarantined request to it."""
        entry = self.entries.get(fingerprint)
        named = (engine_number(name) for name in entry.engines) if entry else ()
        seen = (run.worker for run in self._evidence.runs(fingerprint))
        self._evidence.mark_explained({*named, *seen}, now)
        self._evidence.clear(fingerprint, now)

    def _clear(self, fingerprint: bytes, now: float) -> None:
        was_suspect = self._evidence.clear(fingerprint, now)
        in_force = self.entries.remaining_s(fingerprint, time.time()) > 0
        was_listed = not in_force and self.entries.remove(fingerprint)
        if was_listed:
            self.storage.delete(fingerprint)
        if was_suspect or was_listed:
            self.log.state_changed("suspect_served", fingerprint=fingerprint.hex())

    def _engine_name(self, number: int) -> str:
        """Return an engine's name, or its number if the name is not known here."""
        if number in self._ended_engines:
            return self._ended_engines[number]
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
            times=entry.quarantine_count,
            left_s=round(entry.until_unix_s - time.time(), 1),
        )
