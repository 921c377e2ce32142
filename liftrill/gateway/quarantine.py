"""Stops requests that crash engines from being sent to further engines, by all nodes.

A node that loses a run checks whether the engine has ended. If it has, the node informs all nodes
which runs it had there, and every node draws the same conclusion from them: a request, or a part
of prompts, crashes engines. What does is refused for a time. The store records this for nodes that
start, were suspended or were cut off.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from liftrill.coordination.crash_evidence import CrashEvidence
from liftrill.coordination.lost_runs import LostRun
from liftrill.errors import ResultCode
from liftrill.gateway.admission.request_admission import AdmissionRefusal
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery_events import EngineAddress, EngineChoice
from liftrill.gateway.delivery_times import AttemptTimes
from liftrill.gateway.engines.engine_end_check import MAX_WAIT_S
from liftrill.gateway.engines.engine_table import EngineTable, EngineView, engine_number
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.observed_runs import (
    LOSS_WINDOW_S,
    LocalLoss,
    LocalLosses,
    ServedParts,
    ServedRequests,
    environment_number,
    local_loss,
)
from liftrill.gateway.opaque_request import OpaqueRequest, tenant_number
from liftrill.gateway.quarantine_list import QuarantineEntry, QuarantineList
from liftrill.gateway.quarantine_ports import QuarantinePeers, QuarantineStorage

# How long a request is held once enough engines ended during it, until its case is decided: by then
# all nodes have reported what they lost with the last engine (a datagram takes milliseconds).
DECISION_DELAY_S = 0.1
# How long after the first sign of an engine's end the nodes that lost runs there may still be
# checking it: reports are sent after the check.
REPORT_DELAY_S = MAX_WAIT_S
# How long an engine that ended gets no requests, although its record is still there. Records of
# engines that ended lapse within about this time.
ENDED_ENGINE_AVOIDED_S = 3.0
# The companions in one entry: a notice stays below 1,200 bytes.
MAX_COMPANIONS = 32


@dataclass(slots=True)
class Quarantine:
    """State of one node about requests and prompt parts that crash engines.

    Attributes:
        entries: the requests and parts that are or were in quarantine.
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
    _served_parts: ServedParts = field(default_factory=ServedParts)
    _losses: LocalLosses = field(default_factory=LocalLosses)
    # By engine that has ended: its name.
    _ended_engines: dict[int, str] = field(default_factory=dict)
    # By suspect request or part: when it is decided whether it is put into quarantine.
    _decide_at: dict[bytes, float] = field(default_factory=dict)

    # Queries about requests

    def check(self, request: OpaqueRequest) -> AdmissionRefusal | None:
        """Return the refusal of a request in quarantine, or None."""
        entry = self._entry_covering(request)
        if entry is None:
            return None
        subject = f"prompts with part {entry.part}" if entry.part else "it"
        why = f"{entry.fingerprint.hex()}: engines crashed while they ran {subject}"
        remaining_s = entry.until_unix_s - time.time()
        return AdmissionRefusal(ResultCode.REQUEST_QUARANTINED, remaining_s, why)

    def remaining_s(self, request: OpaqueRequest) -> float:
        """Return for how long a request remains in quarantine, or 0."""
        entry = self._entry_covering(request)
        return max(0.0, entry.until_unix_s - time.time()) if entry else 0.0

    def _entry_covering(self, request: OpaqueRequest) -> QuarantineEntry | None:
        """Return the entry in force that applies to a request for the longest time, or None."""
        # Without entries no digest needs to be computed.
        if not len(self.entries):
            return None
        tenant = tenant_number(request.tenant)
        covering = self.entries.covering(tenant, request.subjects, time.time())
        return max(covering, key=lambda entry: entry.until_unix_s, default=None)

    def suspect(self, request: OpaqueRequest) -> bytes | None:
        """Return what of a request an engine ended early in, or what was in quarantine, or None.

        This is the suspect part with the fewest lost requests, or else the request itself.
        """
        if not len(self._evidence) and not len(self.entries):
            return None
        suspects = [subject for subject in request.subjects if self._is_suspect(subject)]
        parts = [subject for subject in suspects if subject != request.fingerprint]
        return min(parts or suspects, key=self._evidence.rank, default=None)

    def is_suspect(self, request: OpaqueRequest) -> bool:
        """Return whether a request, or a part of its prompt, may crash engines."""
        return self.suspect(request) is not None

    def _is_suspect(self, subject: bytes) -> bool:
        return self._evidence.is_suspect(subject) or self.entries.get(subject) is not None

    def is_decided(self, request: OpaqueRequest, now: float) -> bool:
        """Return whether no decision on a request is pending; decide first what is due."""
        if not self._decide_at:
            return True
        pending = [subject for subject in request.subjects if subject in self._decide_at]
        due = [subject for subject in pending if now >= self._decide_at[subject]]
        for subject in due:
            self._decide(subject, now)
        return len(due) == len(pending)

    def would_refuse(self, request: OpaqueRequest) -> bool:
        """Return whether the pending decisions would refuse a request by the evidence so far."""
        tenant, subjects = tenant_number(request.tenant), request.subjects
        condemned = [s for s in subjects if s in self._decide_at and self._is_condemned(s)]
        return any(self._new_entry(subject).covers(tenant, subjects) for subject in condemned)

    def awaits_report(
        self,
        request: OpaqueRequest,
        down_since: Callable[[EngineAddress], float | None],
        now: float,
    ) -> bool:
        """Return whether a report may be under way that an engine ended during a suspect.

        All nodes notice the end at the same time, but only those that lost runs know of which. The
        link to an engine is down since what `down_since` returns, if it is.
        """
        suspects = [subject for subject in request.subjects if self._is_suspect(subject)]
        lost = {
            view.number
            for view in self.engines.of_service(request.service)
            if not view.leaving and now - self._lost_at(view, down_since) < REPORT_DELAY_S
        }
        return any(lost - self._engines_ended_during(suspect) for suspect in suspects)

    def _engines_ended_during(self, subject: bytes) -> set[int]:
        return {loss.worker for loss in self._evidence.losses(subject)}

    def _lost_at(
        self, view: EngineView, down_since: Callable[[EngineAddress], float | None]
    ) -> float:
        """Return when this node noticed that an engine may have ended, or minus infinity."""
        down_at = down_since(view.identity)
        return self._evidence.ended_at(view.number) if down_at is None else down_at

    # Observations of this node

    def run_lost(
        self, request: OpaqueRequest, choice: EngineChoice, times: AttemptTimes, now: float
    ) -> None:
        """Record that a run was interrupted or abandoned, in case its engine has ended."""
        loss = local_loss(request, choice, times, now)
        if self._evidence.has_ended(choice.number):
            self._add_losses([loss], now)
        else:
            self._losses.add_pending(loss)

    def knows_end(self, view: EngineView) -> bool:
        """Return whether an engine is known to have ended."""
        return self._evidence.has_ended(view.number)

    def ended_lately(self, view: EngineView, now: float) -> bool:
        """Return whether an engine ended so lately that its record may not have lapsed."""
        return now - self._evidence.ended_at(view.number) < ENDED_ENGINE_AVOIDED_S

    def engine_ended(self, view: EngineView, now: float) -> None:
        """Record that an engine has ended, with the runs that this node lost there."""
        self._record_end(view.number, "refused", now, view.record.incarnation)

    def incarnation_ended(
        self, view: EngineView, now: float, ended_at: float | None = None
    ) -> None:
        """Record that an engine has restarted, so that its former incarnation has ended."""
        self._record_end(view.number, "started again", now, view.record.incarnation, ended_at)

    def served(self, request: OpaqueRequest, now: float) -> None:
        """Record that an engine served a request, which clears it of suspicion."""
        self._served_requests.record(request, now)
        if not len(self._evidence) and not len(self.entries):
            return
        if self._is_known(request.fingerprint, environment=0):
            self._clear(request.fingerprint, now)
            self.peers.send_served(request.fingerprint)

    def parts_served(self, request: OpaqueRequest, choice: EngineChoice, now: float) -> None:
        """Record that an engine went on after it began to answer a prompt with some parts."""
        environment = environment_number(choice)
        self._served_parts.record(request.part_ids, environment, now)
        if not len(self._evidence) and not len(self.entries):
            return
        for digest in request.part_ids:
            if self._is_known(digest, environment):
                self._clear(digest, now, environment)
                self.peers.send_served(digest, environment)

    def _is_known(self, subject: bytes, environment: int) -> bool:
        """Return whether the service of a request or part changes what nodes know of it."""
        return self._evidence.is_suspect(subject) or self._is_refuted(subject, environment)

    # Reports of other nodes and of the store

    def apply_lost_runs(self, node: str, runs: Iterable[LostRun], now: float) -> None:
        """Add runs that another node lost with engines that ended."""
        for run in runs:
            self._record_end(run.worker, node, now)
            if not self._evidence.add(run):
                continue
            # The node sent a quarantined request, so it does not know of the quarantine.
            for entry in self._covering(run):
                self.peers.send_quarantined(entry, node)
            self._clear_if_served(run, now)
            self._schedule_decisions(run, now)

    def apply_served(self, subject: bytes, at: float, environment: int = 0) -> None:
        """Clear a suspect request or part of its losses until another node reported its service."""
        self._clear(subject, at, environment)

    def apply_quarantined(self, entry: QuarantineEntry, now: float) -> None:
        """Add an entry for a request or part that another node put into quarantine."""
        own_loss = self._losses.pop(entry.fingerprint)
        if own_loss is not None and not entry.route:
            entry = own_loss.described(entry)
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
        """Release what an operator deleted the record of, or a node after serving it."""
        if self.entries.remove(fingerprint):
            self._evidence.clear(fingerprint, now)
            # A pending write, here or at another node, must not restore the record.
            self.storage.delete(fingerprint)
            self.log.state_changed("quarantine_released", fingerprint=fingerprint.hex())

    def expire(self, now: float) -> None:
        """Make due decisions, and remove entries and evidence that are too old."""
        self._evidence.expire(now)
        for subject, decide_at in list(self._decide_at.items()):
            if now >= decide_at:
                self._decide(subject, now)
        for subject in self._losses.subjects():
            if not self._evidence.losses(subject):
                self._losses.pop(subject)
        self._losses.expire(now)
        for number in [n for n in self._ended_engines if not self._evidence.has_ended(n)]:
            del self._ended_engines[number]
        for entry in self.entries.past_retention(time.time()):
            self.entries.remove(entry.fingerprint)
            self.storage.delete(entry.fingerprint)
        self.metrics.quarantined.set(self.entries.in_force(time.time()))

    # Decisions

    def _record_end(
        self,
        number: int,
        source: str,
        now: float,
        name: str = "",
        ended_at: float | None = None,
    ) -> None:
        """Record that an engine ended, and use this node's losses there as evidence.

        It may have ended some time before this was found.
        """
        ended_at = now if ended_at is None else ended_at
        if number in self._ended_engines:
            return
        # The engine's record may be deleted by the time that its name is needed.
        self._ended_engines[number] = name or self._engine_name(number)
        self._evidence.record_end(number, ended_at)
        losses = self._losses.pop_pending(number)
        self.metrics.engine_ends.inc()
        early = [loss for loss in losses if loss.run.early]
        self.log.state_changed(
            "engine_ended",
            engine=self._engine_name(number),
            source=source,
            lost=len(losses),
            early=[loss.run.fingerprint.hex() for loss in early],
        )
        recent = [loss for loss in losses if ended_at - loss.run.ended_at <= LOSS_WINDOW_S]
        self._add_losses(recent, now)

    def _add_losses(self, losses: list[LocalLoss], now: float) -> None:
        """Add runs that this node lost with an ended engine as evidence, and report them."""
        # What is popular would be reported by many nodes, and cleared by as many.
        suspicious = [
            replace(loss, run=self._without_served_parts(loss.run))
            for loss in losses
            if not self._was_served_recently(loss.run)
        ]
        added = [loss for loss in suspicious if self._evidence.add(loss.run)]
        if added:
            self.peers.send_lost_runs([loss.run for loss in added])
        for loss in added:
            self._losses.add_evidence(loss)
            self._schedule_decisions(loss.run, now)

    def _was_served_recently(self, run: LostRun) -> bool:
        """Return whether engines recently served this node the same request as a lost run's.

        A request that many callers send is running on most engines that end, whatever the cause.
        """
        return run.early and self._served_requests.has_served(run.fingerprint, run.ended_at)

    def _without_served_parts(self, run: LostRun) -> LostRun:
        """Return a lost run without the parts that engines recently served this node."""
        unserved = [digest for digest in run.parts if not self._served_parts.acquits(digest, run)]
        return replace(run, parts=tuple(unserved))

    def _clear_if_served(self, run: LostRun, now: float) -> None:
        """Clear what another node lost of suspicion if engines recently served it to this node."""
        if self._was_served_recently(run):
            self._clear(run.fingerprint, now)
            self.peers.send_served(run.fingerprint)
        for digest in run.parts:
            if self._served_parts.acquits(digest, run):
                self._clear(digest, now, run.environment)
                self.peers.send_served(digest, run.environment)

    def _covering(self, run: LostRun) -> list[QuarantineEntry]:
        return self.entries.covering(run.tenant, run.subjects, time.time())

    def _schedule_decisions(self, run: LostRun, now: float) -> None:
        """Schedule the decisions on what a run is evidence about, if enough engines ended."""
        covering = self._covering(run)
        for entry in covering:
            self._attribute_ends(entry.fingerprint, now, (run.worker,))
        if covering:
            return
        for subject in run.subjects:
            ended_again = run.early and self.entries.get(subject) is not None
            if ended_again or self._evidence.reaches_quarantine_threshold(subject):
                self._decide_at[subject] = now + DECISION_DELAY_S

    def _decide(self, subject: bytes, now: float) -> None:
        """Put a request or part into quarantine if the evidence shows that it crashes engines."""
        if self._decide_at.pop(subject, None) is None or not self._is_condemned(subject):
            return
        entry = self._new_entry(subject)
        loss = self._losses.pop(subject)
        if loss is not None:
            entry = loss.described(entry)
        self._put_if_newer(entry, "evidence", now)
        # Only few nodes lost it themselves, so these write the record and report it at once.
        self.storage.save(entry, at_once=loss is not None)
        if loss is not None:
            self.peers.send_quarantined(entry)

    def _is_condemned(self, subject: bytes) -> bool:
        """Return whether the evidence so far shows that a request or part crashes engines."""
        losses = self._evidence.losses(subject)
        if not losses:
            return False
        # Where it was in quarantine before, one early end is enough.
        ended_again = losses[-1].early and self.entries.get(subject) is not None
        return ended_again or self._evidence.should_quarantine(subject)

    def _new_entry(self, subject: bytes) -> QuarantineEntry:
        """Return the entry for a subject, which covers no more requests than were lost with it."""
        losses = self._evidence.losses(subject)
        names = tuple(self._engine_name(loss.worker) for loss in losses)
        entry = replace(self.entries.next_entry(subject, time.time()), engines=names)
        if any(subject in loss.requests for loss in losses):
            return entry
        tenants = frozenset[int]().union(*(loss.tenants for loss in losses))
        environments = {loss.environment for loss in losses}
        companions = self._evidence.companions(subject)[:MAX_COMPANIONS]
        scoped = replace(
            entry,
            only_tenant=min(tenants) if len(tenants) == 1 else 0,
            companions=companions,
            environment=min(environments) if len(environments) == 1 else 0,
        )
        known = self.entries.get(subject)
        return scoped.widened_by(known, time.time()) if known else scoped

    def _put_if_newer(self, entry: QuarantineEntry, source: str, now: float) -> bool:
        """Add an entry unless a newer one is known; return whether it is newer than the known."""
        known = self.entries.get(entry.fingerprint)
        if known is not None and known.quarantine_count > entry.quarantine_count:
            return False
        is_new = known is None or known.quarantine_count < entry.quarantine_count
        # An entry of the same quarantine may have passed through a node that knows less of it.
        if is_new or (known is not None and not known.route):
            self.entries.put(entry)
        self._attribute_ends(entry.fingerprint, now)
        if is_new:
            self._log_entry(entry, source)
        return is_new

    def _attribute_ends(self, subject: bytes, now: float, engines: Iterable[int] = ()) -> None:
        """Attribute some engines, and those that ended during a subject before, to it."""
        entry = self.entries.get(subject)
        named = (engine_number(name) for name in entry.engines) if entry else ()
        seen = (loss.worker for loss in self._evidence.losses(subject))
        # The cause may still turn out to be a part that the subject came with.
        companions = entry.companions if entry else ()
        causes = (subject, *companions, *self._evidence.companions(subject))
        self._evidence.mark_explained({*named, *seen, *engines}, now, causes)
        self._evidence.clear(subject, now)

    def _clear(self, subject: bytes, at: float, environment: int = 0) -> None:
        """Drop the evidence against what was served, and an entry that this refutes."""
        was_suspect = self._evidence.clear(subject, at, environment)
        was_listed = self._is_refuted(subject, environment) and self.entries.remove(subject)
        if was_listed:
            self.storage.delete(subject)
        if was_suspect or was_listed:
            self.log.state_changed("suspect_served", fingerprint=subject.hex())

    def _is_refuted(self, subject: bytes, environment: int) -> bool:
        """Return whether the service of a request or part shows that its entry is wrong.

        A run that was sent before the decision may be served after it. For a request the
        environment is 0: its entry stays until it ends.
        """
        entry = self.entries.get(subject)
        if entry is None:
            return False
        is_same_version = environment != 0 and entry.environment in (0, environment)
        return entry.until_unix_s <= time.time() or is_same_version

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
            part=entry.part,
            source=source,
            route=entry.route,
            tenant=entry.tenant,
            only_tenant=bool(entry.only_tenant),
            companions=[companion.hex() for companion in entry.companions],
            engines=entry.engines,
            times=entry.quarantine_count,
            left_s=round(entry.until_unix_s - time.time(), 1),
        )
