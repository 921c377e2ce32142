"""Assembles one gateway node from its parts."""

import asyncio
import random
import resource
import time
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from liftrill import clock, constants
from liftrill.coordination.lost_runs import LostRun
from liftrill.coordination.membership import Membership
from liftrill.coordination.membership_messages import Condition, Member
from liftrill.coordination.quota import FleetSize, SharedBuckets
from liftrill.coordination.range_store import RangeStore, StoredItem
from liftrill.coordination.spending_notices import SpendingNotice
from liftrill.coordination.store_mirror import MirrorChange
from liftrill.coordination.store_position import era_of, reported_era, revision_of
from liftrill.errors import ResultCode
from liftrill.gateway import ticks
from liftrill.gateway.admission.quota_gate import QuotaGate
from liftrill.gateway.admission.request_admission import (
    AdmissionRefusal,
    IncomingRequest,
    RequestAdmission,
)
from liftrill.gateway.admission.retry_allowance import new_allowance
from liftrill.gateway.begin_deadlines import StopSchedule
from liftrill.gateway.cluster_state import ClusterState
from liftrill.gateway.configuration_view import ConfigurationView
from liftrill.gateway.decision_log import DecisionLog, rounded_age
from liftrill.gateway.engines.engine_condition import EngineSignal
from liftrill.gateway.engines.engine_limits import LimitMessage
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_slots import SlotMessage
from liftrill.gateway.engines.engine_table import EngineNotice, EngineTable, EngineView
from liftrill.gateway.engines.unrecorded_engine_state import UnrecordedEngineState
from liftrill.gateway.era_record import EraRecord
from liftrill.gateway.fleet_record import FleetRecord
from liftrill.gateway.forwarder import Forwarder, ForwardingPorts
from liftrill.gateway.freshness_checker import FreshnessChecker, FreshnessDelegate
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.holding.node_memory import new_node_memory
from liftrill.gateway.leadership import Leadership, term_parameters
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.order_client import OrderClient
from liftrill.gateway.paths.path_service import NodeParts, PathService
from liftrill.gateway.paths.reach_codec import ReachMessage
from liftrill.gateway.peers.capable_nodes import leader_candidates
from liftrill.gateway.peers.engine_gossip import EngineGossip, LimitMessenger, SlotMessenger
from liftrill.gateway.peers.load_exchange import LoadReport, LoadScope, SendReport, topology_for
from liftrill.gateway.peers.load_shedding import LoadShedder
from liftrill.gateway.peers.load_table import LoadTable
from liftrill.gateway.peers.node_capacity import NodeCapacities, NodeCapacity
from liftrill.gateway.peers.node_directory import NodeDirectory
from liftrill.gateway.peers.peer_link import PeerCallbacks, PeerLink, new_membership
from liftrill.gateway.peers.silence_detector import MAX_REPORT_INTERVAL_S, SilenceDetector
from liftrill.gateway.peers.speed_exchange import SpeedExchange
from liftrill.gateway.quarantine import Quarantine
from liftrill.gateway.quarantine_list import QuarantineEntry
from liftrill.gateway.quarantine_records import QuarantineRecords, fingerprint_of
from liftrill.gateway.reader_selection import ReaderSelection
from liftrill.gateway.record_decoder import RecordDecoder
from liftrill.gateway.relay_client import ReaderLimits, max_mirror_age_s
from liftrill.gateway.relay_codec import RelayAnswer
from liftrill.gateway.relay_server import RelayServer
from liftrill.gateway.route_table import WeightedSplit
from liftrill.gateway.settings import GatewaySettings
from liftrill.gateway.stall_detector import StallDetector
from liftrill.gateway.store_follower import FollowerDelegate, StoreFollower
from liftrill.gateway.store_outage import AnswerHistory, min_expiry_s
from liftrill.gateway.streams.origin_codec import OriginMessage
from liftrill.gateway.streams.origin_records import ORIGINS_KEY_PREFIX
from liftrill.gateway.streams.origin_service import OriginService
from liftrill.gateway.transport import EngineTransport
from liftrill.gateway.weight_controller import WeightController
from liftrill.gateway.weight_rollout import WeightRollout
from liftrill.gateway.weight_targets import WeightTargets

# A lag that callers would notice is detected within three intervals.
HOUSEKEEPING_SECONDS = 0.3
# Log lines of one interval on nodes whose share of callers changed; more changes than this mean
# that the whole zone is busy.
MAX_LOGGED_CHANGES = 3
# How long a node waits after a stall of its process for current data of the store before it uses
# the data it has: after this time an outage is more likely than a slow response.
STALL_CATCH_UP_TIMEOUT_S = 2.0
MILLICORES = 1_000
# A node that starts sees no other members at first; of 195 nodes that start together, a node
# knows 157 after this time.
CANDIDACY_DELAY_S = 1.0


class Gateway(FollowerDelegate, FreshnessDelegate):
    """One node that forwards requests and participates in the control of the fleet."""

    def __init__(
        self,
        settings: GatewaySettings,
        store: RangeStore,
        decoder: RecordDecoder,
        transport: EngineTransport,
        orders: OrderClient,
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        bounds = settings.bounds
        self.settings = settings
        self.log = log
        self.metrics = metrics
        self.stop_schedule = StopSchedule(bounds.stop_seconds)
        self.memory = new_node_memory(settings, log, metrics)
        self._started_at = clock.now_s()
        self.view = ConfigurationView(bounds.key_proof_seconds - constants.KEY_PROOF_MARGIN_SECONDS)
        self._store = store
        engines = EngineTable()
        grace = bounds.version_grace_seconds - constants.WEIGHT_GRACE_MARGIN_SECONDS
        targets = WeightTargets(
            grace, bounds.version_grace_seconds - constants.WEIGHT_START_MARGIN_SECONDS
        )
        split = WeightedSplit()
        selector = EngineSelector(engines, targets, settings.zone)
        answers = AnswerHistory(min_expiry_s(bounds.heartbeat_seconds))
        self._cluster_state = ClusterState(
            decoder,
            self.view,
            engines,
            targets,
            selector,
            split,
            log,
            answers,
        )
        self._cluster_state.count_refused = metrics.refused_records.inc
        self._cluster_state.incarnation_ended = self._on_incarnation_ended
        self._engines = engines
        self._allowance = new_allowance(settings, clock.now_s())
        self.admission = RequestAdmission(self.view, split)
        self._fleet = FleetSize()
        self._quotas = self._new_quotas()
        self._stall_detector = StallDetector(STALL_CATCH_UP_TIMEOUT_S)
        self.capacity = NodeCapacity(settings.machine, HOUSEKEEPING_SECONDS)
        self._membership = self._new_membership()
        self._reader_selection = ReaderSelection(self._membership.own)
        limits = ReaderLimits(settings.node, max_mirror_age_s(bounds.propagation_seconds))
        self._follower = StoreFollower(store, "", self, limits, answers, ORIGINS_KEY_PREFIX)
        self._freshness_checker = FreshnessChecker(
            store,
            self._follower,
            self._cluster_state,
            self.view,
            self,
            bounds.propagation_seconds,
        )
        self._relay = RelayServer(self._follower, self.view, metrics.followers.set)
        self._silence_detector = SilenceDetector()
        self._load_table = LoadTable(engines)
        self._speed_exchange = SpeedExchange(selector.speeds, settings.zone)
        self._node_capacities = NodeCapacities()
        self._load_shedder = LoadShedder()
        self._node_directory = NodeDirectory(self._node_capacities)
        callbacks = PeerCallbacks(
            self._on_member,
            self._freshness_checker.note_peer_version,
            self._on_notice,
            self._on_engine_update,
            self._on_loads,
            self._on_speeds,
            self._on_prefill_started,
            self._on_spending,
            self._on_lost_runs,
            self._on_served,
            self._on_quarantined,
            self._on_limit_message,
            self._on_reach_message,
            self._on_slot_message,
            self._on_origin_message,
        )
        self._peers = PeerLink(self._membership, callbacks)
        self._engine_limits = selector.limits
        limit_messenger = LimitMessenger(self._membership, self._fleet, self._peers, log, metrics)
        self._engine_limits.peers = limit_messenger
        self._engine_slots = selector.slots
        slot_messenger = SlotMessenger(limit_messenger, self._peers, log, metrics)
        self._engine_slots.peers = slot_messenger
        self._gossip = EngineGossip(
            engines,
            self._engine_limits,
            self._engine_slots,
            self._membership,
            self._peers,
            log,
            metrics,
        )
        self._quarantine_records = QuarantineRecords(store, self._follower.mirror, log)
        self._quarantine = Quarantine(engines, log, metrics, self._peers, self._quarantine_records)
        ports = ForwardingPorts(selector, self._allowance, self._quotas, self._quarantine)
        ports.state_is_current = self._state_is_current
        ports.may_begin_at = self.stop_schedule.may_begin
        self.forwarder = Forwarder(
            engines, ports, self._allowance, transport, log, metrics, self._quarantine
        )
        self.forwarder.prefill_started = self._send_prefill_start
        selector.software_versions.has_ended = self._quarantine.knows_end
        selector.ended_lately = self._quarantine.ended_lately
        self._stream_origins = OriginService(
            store,
            self._follower.mirror,
            self._follower.freshness,
            engines,
            self._membership,
            self._peers,
            log,
            metrics,
            self.view.proof_lifetime,
        )
        self._stream_origins.versions.request_proof = self._freshness_checker.request_proof
        self.forwarder.on_stream_began = self._stream_origins.tracker.stream_began
        self.forwarder.incarnation_check.knows_records = self._stream_origins.knows_engines
        self._stream_origins.connect(selector.software_versions)
        limit_messenger.wake_waiting = self.forwarder.queues.wake_all
        slot_messenger.wake_waiting = self.forwarder.queues.wake_all
        parts = NodeParts(
            settings,
            engines,
            self._membership,
            self._peers,
            self.memory,
            log,
            metrics,
            self._load_table,
        )
        self.paths = PathService(
            parts, selector.paths, transport, self.forwarder, self._accepts_proxied_requests
        )
        self._leadership = self._new_leadership()
        self._controller = self._new_controller(orders, targets)
        self._controller.leaves_to_others = self.paths.leaves_to_others
        self._fleet_record = FleetRecord(
            store, self._follower.mirror, self._fleet, lambda: self._leadership.fence, log
        )
        self._era_record = EraRecord(
            store,
            self._follower.mirror,
            lambda: self._leadership.fence,
            settings.first_start,
            log,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._was_link_saturated = False
        self._store_era = 0
        self._total_slept_s = 0.0

    @property
    def ready(self) -> bool:
        """Whether this node serves callers.

        A node that starts while the store is unreachable may have copied another node's mirror.
        It refuses all callers with a key until it has a proof of currency of its own.
        """
        is_stopping = self.stop_schedule.is_stopping
        return not is_stopping and self.view.was_proven and len(self._engines) > 0

    @property
    def sheds_connections(self) -> bool:
        """Whether responses ask callers to close their connections."""
        if self.stop_schedule.is_stopping or self._load_shedder.closes_connections:
            return True
        return self.paths.leaves_to_others()

    async def start(self) -> None:
        """Start listening to peers, following the store, and the background loops."""
        await self._peers.listen(self.settings.peer_address)
        await self._relay.listen(self.settings.peer_address)
        await self.paths.listen()
        for loop in (
            self._follower.run,
            self._freshness_checker.run,
            self._peers.run,
            self._controller.run,
            self.paths.run,
            self._run_housekeeping,
            self._maintain_fleet_record,
            self._maintain_quarantine,
            self._stream_origins.run,
            self._report_loads,
        ):
            self._tasks.append(asyncio.ensure_future(self._supervise(loop)))
        self.log.state_changed(
            "started",
            zone=self.settings.zone,
            front=self.settings.front,
            counts_sleep=clock.counts_sleep(),
        )

    def leave(self) -> None:
        """Leave the fleet: peers no longer return this node to callers."""
        self.stop_schedule.stop(clock.now_s())
        self._peers.announce_departure()
        self.log.state_changed("stopping")

    async def stop(self) -> None:
        """Stop all tasks and close all links; the node must have resigned before."""
        for task in self._tasks:
            task.cancel()
        self._peers.close()
        self._relay.close()
        await self.paths.close()
        self.log.state_changed("stopped")

    async def resign(self) -> None:
        """Stop sending orders to engines, so that another node takes over."""
        await self._controller.stop()

    async def admit(self, incoming: IncomingRequest) -> OpaqueRequest | AdmissionRefusal:
        """Return the request to deliver, or why it is refused."""
        if self._load_shedder.refuses_requests:
            retry_after_s = self._load_shedder.retry_after_s(random.random())
            why = f"lag_s={self.capacity.lag_s:.2f}"
            return AdmissionRefusal(ResultCode.NODE_BUSY, retry_after_s, why)
        admitted = self.admission.admit(incoming, clock.now_s())
        if isinstance(admitted, AdmissionRefusal) and admitted.code is ResultCode.KEY_NOT_PROVEN:
            await self._freshness_checker.wait_for_proof(constants.MAX_KEY_PROOF_WAIT_S)
            admitted = self.admission.admit(incoming, clock.now_s())
        if isinstance(admitted, AdmissionRefusal):
            return admitted
        admitted = await self._stream_origins.tracker.resolve(admitted)
        if isinstance(admitted, AdmissionRefusal):
            return admitted
        refusal = self._quarantine.check(admitted) or self._quotas.check(admitted, clock.now_s())
        return refusal or admitted

    def addresses_for(self, zone: str, caller: str = "") -> list[str]:
        """Return the addresses that a caller in a zone should connect to."""
        now = clock.now_s()
        members = self._node_directory.nodes_for(self._usable_members(now), zone, caller, now)
        self.metrics.named_nodes.set(len(members))
        return [self._front_address(member) for member in members]

    def _usable_members(self, now: float) -> list[Member]:
        """Return the members that accept callers."""
        members = [m for m in self._membership.members() if m.condition is Condition.ALIVE]
        members = self._silence_detector.reporting_members(members, now)
        members = self.paths.connected_members(members)
        if self.stop_schedule.is_stopping:
            members = [m for m in members if m.node_id != self.settings.node]
        return members

    def _accepts_proxied_requests(self) -> bool:
        """Return whether this node passes on requests of peers now."""
        now = clock.now_s()
        if self._load_shedder.refuses_requests or not self.stop_schedule.may_begin(now):
            return False
        return self._state_is_current(now)

    def _front_address(self, member: Member) -> str:
        host, _, _ = member.address.rpartition(":")
        _, _, port = self.settings.front.rpartition(":")
        return f"{host}:{port}"

    # Parts

    def _new_membership(self) -> Membership:
        settings = self.settings
        own = Member(
            node_id=settings.node,
            address=settings.peer_address,
            region=settings.region,
            zone=settings.zone,
            incarnation=time.time_ns() // 1_000_000,
            capacity_millicores=round(self.capacity.capacity_cores * MILLICORES),
        )
        return new_membership(own, list(settings.peer_seeds))

    def _new_quotas(self) -> QuotaGate:
        buckets = SharedBuckets(
            self._fleet,
            self.settings.bounds.quota_tolerance,
            self.settings.first_start,
            random.Random(),
        )
        return QuotaGate(buckets, self.log, self.metrics, self._send_spending)

    def _new_leadership(self) -> Leadership:
        bounds = self.settings.bounds
        parameters = term_parameters(
            bounds.min_lease_seconds, bounds.lease_seconds, bounds.thaw_seconds
        )
        return Leadership(
            self._store,
            self._follower.mirror,
            self.settings.node,
            parameters,
            self.log,
            is_candidate=self._is_candidate,
        )

    def _new_controller(self, orders: OrderClient, targets: WeightTargets) -> WeightController:
        return WeightController(
            self._leadership,
            WeightRollout(targets),
            self._engines,
            orders,
            self._send_notices,
            self.log,
            self.metrics,
            self.settings.node,
        )

    def _is_candidate(self) -> bool:
        if clock.now_s() - self._started_at < CANDIDACY_DELAY_S or self.paths.leaves_to_others():
            return False
        candidates = leader_candidates(self._membership.members())
        return self.settings.node in {member.node_id for member in candidates}

    def _state_is_current(self, now: float) -> bool:
        """Return whether the node knows what changed during the last stall of its process."""
        self._check_stall(now)
        return self._stall_detector.has_caught_up(now, self._follower.freshness.as_of)

    def _check_stall(self, now: float) -> None:
        """Query the store at once after a stall: engines may have left meanwhile."""
        if self._stall_detector.tick(now):
            slept_s = clock.slept_s()
            self.metrics.stalls.inc()
            self.log.state_changed(
                "woken",
                stood_still_s=round(self._stall_detector.stall_s, 3),
                slept_s=round(slept_s - self._total_slept_s, 3),
                counts_sleep=clock.counts_sleep(),
                mirror_age_s=rounded_age(self._follower.freshness.age_s(now)),
            )
            self._total_slept_s = slept_s
            # Timers do not advance while the machine is suspended.
            self.forwarder.refresh_begin_deadlines()
            self._freshness_checker.read_after_stall()

    # Callbacks from the store, peers and engines

    def mirror_changed(self, change: MirrorChange, known_until: float) -> None:
        """Apply a change of the store's mirror, and relay it to followers."""
        self._relay.publish(change)
        if change.restored:
            self._record_store_restore(era_of(self._follower.mirror.position))
            self._fleet_record.ignore_current()
        else:
            self._fleet_record.load(clock.now_s())
            if self._era_record.is_behind():
                # The copy is all that this node knows, if it started after the restore.
                self._record_store_restore(era_of(self._follower.mirror.position))
        previous_version = self.view.version
        self._cluster_state.apply(change, known_until)
        self._apply_quarantine(change)
        self._stream_origins.load(clock.now_s())
        self._announce_if_newer(previous_version)
        self.forwarder.queues.wake_all()

    def store_era_began(self, era: int) -> None:
        """Handle a later era in a store's response: the store was restored from an older copy."""
        self._record_store_restore(era)
        self._follower.era_began()

    def store_era_refused(self, era: int, raw_era: str) -> None:
        """Record a store's response that was refused: its era is missing or too early."""
        self.metrics.refused_eras.inc()
        self.log.store_era_refused(reported_era(era), raw_era)

    def _record_store_restore(self, era: int) -> None:
        if era <= self._store_era:
            return
        self._store_era = era
        self.metrics.store_era.set(era - 1)
        at = self._follower.mirror.position
        self.log.state_changed(
            "store_restored",
            era=reported_era(era),
            copy_era=reported_era(era_of(at)),
            at=revision_of(at),
        )
        self._leadership.store_restored()
        self._freshness_checker.store_restored()
        self._stream_origins.store_restored(clock.now_s())

    def configuration_read(self, item: StoredItem) -> None:
        """Apply a configuration that the mirror does not have yet."""
        self._relay.publish_early(item)
        previous_version = self.view.version
        self._cluster_state.apply_item(item, self._follower.freshness.as_of)
        self._announce_if_newer(previous_version)

    def range_read(self, asked_at: float) -> None:
        """Use a complete read of the store's range as a proof of currency."""
        now = clock.now_s()
        self.log.state_changed(
            "store_read",
            at=self._follower.mirror.position,
            call_s=round(now - asked_at, 3),
            mirror_age_s=rounded_age(self._follower.freshness.age_s(now)),
        )
        self._freshness_checker.range_read(asked_at)

    def watch_behind(self, revision: int) -> None:
        """Log that the watch has not delivered a revision that a read returned."""
        self.log.state_changed("watch_behind", at=self._follower.mirror.position, revision=revision)

    def node_id(self) -> str:
        """Return the id of this node."""
        return self.settings.node

    def is_assigned_reader(self) -> bool:
        """Return whether this node is one of those that should read the store directly."""
        return self._reader_selection.should_read_store(self._membership.members())

    def store_connection_changed(self, connected: bool) -> None:
        """Log that the connection to the store was lost or restored."""
        self.log.state_changed("store", connected=connected, at=self._follower.mirror.position)

    def relay_answered(self, answer: RelayAnswer, asked_at: float) -> None:
        """Take over the proof of currency that the followed reader sent."""
        self._freshness_checker.take_reader_proof(answer, asked_at)

    def reader_to_follow(self, store_lost: bool) -> Member | None:
        """Return the node whose mirror to follow, or None to read the store itself."""
        members = self._membership.members()
        return self._reader_selection.reader(members, clock.now_s(), store_lost)

    def is_reader_eligible(self, reader: Member, since: float) -> bool:
        """Return whether a node that was followed since a time should still be followed."""
        members = self._membership.members()
        return self._reader_selection.is_eligible(reader, members, since, clock.now_s())

    def reader_followed(self, reader: Member, store_lost: bool) -> None:
        """Log which node this node follows now, and how old its own data is."""
        now = clock.now_s()
        self.log.state_changed(
            "reader_followed",
            reader=reader.node_id,
            store_lost=store_lost,
            at=self._follower.mirror.position,
            mirror_age_s=rounded_age(self._follower.freshness.age_s(now)),
            proof_age_s=rounded_age(self.view.proof_age(now)),
        )

    def reader_lost(self, reader: Member, reason: str) -> None:
        """Avoid a reader for a while, because it no longer serves this node."""
        self._reader_selection.back_off(reader.node_id, clock.now_s())
        self.log.state_changed("reader_lost", reader=reader.node_id, reason=reason)

    def _announce_if_newer(self, previous_version: int) -> None:
        if self.view.version != previous_version:
            self._quotas.configure(self.view, clock.now_s())
            self._peers.announce_version(self.view.version)

    def _on_member(self, member: Member) -> None:
        alive = len(self._membership.members())
        self._allowance.nodes = max(self._allowance.nodes, alive)
        self._fleet.record_alive(alive, clock.now_s())
        if member.condition is Condition.ALIVE:
            self._gossip.send_state_to_joiner(member)
        if member.condition >= Condition.DEAD:
            self._silence_detector.forget(member.node_id)
            self._node_capacities.forget(member.node_id)
        self._cluster_state.selector.parts.nodes = alive
        self.log.state_changed(
            "peer",
            peer=member.node_id,
            condition=member.condition.name.lower(),
            incarnation=member.incarnation,
        )

    def record_engine_signal(self, signal: EngineSignal) -> None:
        """Process what an engine reported about itself in a response to this node."""
        self._gossip.handle_signal(signal)

    def note_unread(self, name: str) -> None:
        """Record that back ends send a header of a known family that no code reads."""
        self.metrics.unread_headers.inc()
        self.log.state_changed("unread_header", name=name)

    def _on_engine_update(self, update: UnrecordedEngineState) -> None:
        self._gossip.apply_update(update)

    def _on_notice(self, notice: EngineNotice) -> None:
        paused_until = clock.now_s() + constants.LOADING_NOTICE_LIFETIME_SECONDS
        self._engines.apply_notice(notice, paused_until)
        if not notice.loading:
            self.forwarder.queues.wake_all()

    def _on_loads(self, report: LoadReport) -> None:
        now = clock.now_s()
        is_of_own_zone = report.zone == self.settings.zone
        self._cluster_state.selector.parts.directory.apply_updates(
            report.part_locations, now, is_of_own_zone
        )
        self._quotas.apply_report(report, now)
        if report.part_locations:
            self.forwarder.queues.wake_all()
        if report.scope is LoadScope.NODE:
            self._silence_detector.record_report(report.node, now)
            self._load_table.update(report.node, report.loads, now, report.zone)
            if report.node_load is not None:
                self._node_capacities.update(report.node, report.node_load, now)
            return
        if report.node_load is not None:
            self._node_capacities.update_zone(report.zone, report.node_load, now)
        self._load_table.update_zone(report.zone, report.loads, now)
        self._relay_report(report)

    def _on_speeds(self, report: LoadReport) -> None:
        self._speed_exchange.apply_report(report, clock.now_s())
        self._relay_report(report)

    def _relay_report(self, report: LoadReport) -> None:
        """Pass on a report to the members that the topology names."""
        members = self._membership.members()
        relayed = topology_for(members).relayed_reports(self._membership.own, report, members)
        self._peers.send_reports(relayed)

    def _apply_quarantine(self, change: MirrorChange) -> None:
        now = clock.now_s()
        for item in change.written:
            entry = self._quarantine_records.read(item)
            if entry is not None:
                self._quarantine.apply_record(entry, now)
        for key in change.removed:
            fingerprint = fingerprint_of(key)
            if fingerprint is None:
                continue
            if change.restored:
                self._quarantine.record_lost(fingerprint)
            else:
                self._quarantine.release(fingerprint, now)

    def _on_incarnation_ended(self, view: EngineView) -> None:
        self._quarantine.incarnation_ended(view, clock.now_s())

    def _on_lost_runs(self, node: str, runs: list[LostRun]) -> None:
        self._quarantine.apply_lost_runs(node, runs, clock.now_s())

    def _on_quarantined(self, entry: QuarantineEntry) -> None:
        self._quarantine.apply_quarantined(entry, clock.now_s())

    def _on_limit_message(self, node: str, message: LimitMessage) -> None:
        self._engine_limits.receive(node, message, clock.now_s())

    def _on_reach_message(self, node: str, message: ReachMessage) -> None:
        self.paths.receive(node, message)

    def _on_slot_message(self, node: str, message: SlotMessage) -> None:
        self._engine_slots.receive(node, message, clock.now_s())

    def _on_origin_message(self, node: str, message: OriginMessage) -> None:
        self._stream_origins.tracker.receive(node, message)

    def _on_served(self, subject: bytes, environment: int, at: float) -> None:
        self._quarantine.apply_served(subject, at, environment)

    def _on_prefill_started(self, engine_number: int, tokens: int) -> None:
        self._load_table.add_peer_prefill(engine_number, tokens, clock.now_s())

    def _send_prefill_start(self, view: EngineView, tokens: int) -> None:
        self._load_table.add_own_prefill(view, tokens, clock.now_s())
        self._peers.broadcast_prefill(view.number, tokens)

    def _on_spending(self, sender: str, notice: SpendingNotice) -> None:
        self._quotas.buckets.hear_spending(sender, notice, clock.now_s())

    def _send_spending(self, notice: SpendingNotice) -> None:
        self._peers.broadcast_spending(notice)

    async def _send_notices(self, notices: list[EngineNotice]) -> None:
        for notice in notices:
            self._on_notice(notice)
        await self._peers.broadcast_notices(notices)

    # Loops

    async def _supervise(self, loop: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run an endless loop, and restart it if it fails."""
        while True:
            try:
                await loop()
            except Exception as error:
                self.log.state_changed("task_failed", task=loop.__qualname__, error=repr(error))
            await asyncio.sleep(constants.BACKGROUND_RESTART_SECONDS)

    async def _report_loads(self) -> None:
        """Send this node's load to peers while there is any, and once when there is none."""
        own = self._membership.own
        had_load = False
        reported_at = 0.0
        while True:
            now = clock.now_s()
            members = self._membership.members()
            topology = topology_for(members)
            part_updates = self._cluster_state.selector.parts.directory.updates(now)
            messages = topology.own_reports(own, self._load_table, part_updates, members)
            has_load = any(
                message.report.loads or message.report.part_locations for message in messages
            )
            is_due = now - reported_at >= MAX_REPORT_INTERVAL_S
            if has_load or had_load or is_due:
                messages = [self._quotas.with_quota(message, now) for message in messages]
                self._peers.send_reports([self._add_capacity(message, now) for message in messages])
                reported_at = now
            self._peers.send_reports(self._speed_exchange.due_reports(messages, now))
            had_load = has_load
            self._load_table.expire(now)
            await ticks.pause(topology.interval_s(own, members))

    def _add_capacity(self, message: SendReport, now: float) -> SendReport:
        """Return a load report with the capacity and usage of this node or its zone."""
        if message.report.scope is LoadScope.NODE:
            capacity = self.capacity.current_load()
        else:
            zone = self.settings.zone
            nodes = [m.node_id for m in self._membership.members() if m.zone == zone]
            capacity = self._node_capacities.total(nodes, now)
        return replace(message, report=replace(message.report, node_load=capacity))

    def _measure_capacity(self, now: float) -> None:
        """Measure this node's capacity, and log the nodes whose share of callers changed."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        free_bytes = self.memory.budget.free_bytes if self.memory is not None else 0
        self.capacity.update(now, used.ru_utime + used.ru_stime, free_bytes)
        capacity = self.capacity.current_load()
        self._node_capacities.update(self.settings.node, capacity, now)
        self.metrics.set_capacity(capacity, self.capacity.lag_s)
        self._update_load_shedding(now)
        changes = self._node_directory.update(self._usable_members(now), self.settings.zone, now)
        for change in changes[:MAX_LOGGED_CHANGES]:
            self.log.state_changed("node_named", of=len(changes), **change.log_fields())

    def _update_load_shedding(self, now: float) -> None:
        """Decide whether this node sheds connections or requests, and log changes of it."""
        own = self.settings
        others = [
            m.node_id
            for m in self._usable_members(now)
            if m.zone == own.zone and m.node_id != own.node
        ]
        lag_s = self.capacity.lag_s
        others_late_s = self._node_capacities.total(others, now).late_s
        if self._load_shedder.update(lag_s, self.capacity.late_ticks, others_late_s):
            self.log.state_changed(
                "node_busy",
                closes=self._load_shedder.closes_connections,
                refuses=self._load_shedder.refuses_requests,
                lag_s=round(lag_s, 3),
                others_late_s=round(others_late_s, 3),
            )

    def _record_store_link(self, now: float) -> None:
        """Export whether the links of the prefix stores are saturated, and log changes of it."""
        parts = self._cluster_state.selector.parts
        is_saturated = parts.is_link_saturated(now)
        self.metrics.held_seconds.set(parts.directory.held_s)
        self.metrics.store_link_saturated.set(is_saturated)
        if is_saturated != self._was_link_saturated:
            self._was_link_saturated = is_saturated
            held_s = round(parts.directory.held_s, 2)
            self.log.state_changed(
                "store_link", short=is_saturated, nodes=parts.nodes, held_s=held_s
            )

    def _record_speeds(self, now: float) -> None:
        """Recompute the speeds of engines, and log those that became slow or normal again."""
        speeds = self._cluster_state.selector.speeds
        for change in speeds.refresh(now):
            kind = "engine_slow" if change.slowness > 1.0 else "engine_well"
            self.log.state_changed(kind, **change.log_fields())
        self.metrics.record_speeds(speeds.figures())

    async def _maintain_fleet_record(self) -> None:
        while True:
            await self._fleet_record.write_if_due(clock.now_s())
            await self._era_record.write_if_due(clock.now_s())
            await ticks.pause(HOUSEKEEPING_SECONDS)

    async def _maintain_quarantine(self) -> None:
        while True:
            await self._quarantine_records.write_due()
            self._quarantine.expire(clock.now_s())
            await self._quarantine_records.wait(HOUSEKEEPING_SECONDS)

    async def _run_housekeeping(self) -> None:
        while True:
            now = clock.now_s()
            self._check_stall(now)
            self._measure_capacity(now)
            self._cluster_state.expire(now)
            self._engines.conditions.expire((view.condition for view in self._engines), now)
            self.metrics.limited_engines.set(len(self._engine_limits.in_force()))
            self._engine_limits.expire((view.identity for view in self._engines), now)
            self._engine_slots.refresh(self._engines, now)
            self._stream_origins.tracker.refresh(now)
            self._follower.reselect_reader()
            self.metrics.version.set(self.view.version)
            self.metrics.engines.set(len(self._engines))
            self.metrics.reads_store.set(self._follower.followed is None)
            self.metrics.proof_age.set(self.view.proof_age(now))
            self.metrics.mirror_age.set(self._follower.freshness.age_s(now))
            self.metrics.peers.set(len(self._membership.members()))
            depth, age_s = self.forwarder.queues.depth_and_age_s(now)
            self.metrics.queue_depth.set(depth)
            self.metrics.queue_age_s.set(age_s)
            self._record_store_link(now)
            self._record_speeds(now)
            self._fleet.record_alive(len(self._membership.members()), now)
            self._quotas.expire(now)
            if self.memory is not None:
                self.memory.refresh(now)
            await ticks.pause(HOUSEKEEPING_SECONDS)
