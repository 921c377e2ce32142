"""Assembles one gateway from its parts."""

import asyncio
import random
import resource
import time
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from liftrill import clock, constants
from liftrill.coordination.crash_evidence import LostRun
from liftrill.coordination.lease import LeaseParameters
from liftrill.coordination.membership import Membership
from liftrill.coordination.membership_messages import Condition, Member
from liftrill.coordination.quota import FleetSize, SharedBuckets
from liftrill.coordination.range_store import RangeStore, StoredItem
from liftrill.coordination.store_mirror import MirrorChange
from liftrill.coordination.store_position import era_of, revision_of, told_era
from liftrill.coordination.told_spending import SpendingNotice
from liftrill.errors import ResultCode
from liftrill.gateway import ticks
from liftrill.gateway.admission.quota_gate import QuotaGate
from liftrill.gateway.admission.request_admission import (
    AdmissionRefusal,
    IncomingRequest,
    RequestAdmission,
)
from liftrill.gateway.admission.retry_allowance import RetryAllowance
from liftrill.gateway.beliefs import Beliefs
from liftrill.gateway.configuration_view import ConfigurationView
from liftrill.gateway.currency import CurrencyOwner, CurrencyProver
from liftrill.gateway.decision_log import DecisionLog, rounded_age
from liftrill.gateway.engines.engine_condition import EngineSignal
from liftrill.gateway.engines.engine_limits import LimitMessage
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineNotice, EngineTable, EngineView
from liftrill.gateway.engines.unrecorded_engine_state import UnrecordedEngineState
from liftrill.gateway.fleet_record import FleetRecord
from liftrill.gateway.forwarder import Forwarder, ForwardingPorts
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.holding.node_memory import new_node_memory
from liftrill.gateway.leadership import Leadership, TermParameters
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.order_client import OrderClient
from liftrill.gateway.peers.able_nodes import ranked
from liftrill.gateway.peers.busy_node import BusyNode
from liftrill.gateway.peers.caller_directory import CallerDirectory
from liftrill.gateway.peers.engine_gossip import EngineGossip, LimitLink
from liftrill.gateway.peers.load_board import LoadBoard
from liftrill.gateway.peers.load_exchange import LoadReport, LoadScope, SendLoads, topology_for
from liftrill.gateway.peers.node_capacity import NodeCapacities, NodeCapacity
from liftrill.gateway.peers.peer_link import PeerCallbacks, PeerLink, new_membership
from liftrill.gateway.peers.peer_silence import IDLE_REPORT_S, PeerSilence
from liftrill.gateway.peers.speed_exchange import SpeedExchange
from liftrill.gateway.quarantine import Quarantine
from liftrill.gateway.quarantine_list import QuarantineEntry
from liftrill.gateway.quarantine_records import QuarantineRecords, fingerprint_of
from liftrill.gateway.reader_plan import ReaderPlan
from liftrill.gateway.record_decoder import RecordDecoder
from liftrill.gateway.relay_client import ReaderLimits, longest_mirror_age_s
from liftrill.gateway.relay_codec import RelayAnswer
from liftrill.gateway.relay_server import RelayServer
from liftrill.gateway.route_table import WeightedSplit
from liftrill.gateway.settings import GatewaySettings
from liftrill.gateway.standstill import Standstill
from liftrill.gateway.store_follower import FollowerOwner, StoreFollower
from liftrill.gateway.transport import EngineTransport
from liftrill.gateway.weight_controller import WeightController
from liftrill.gateway.weight_rollout import WeightRollout
from liftrill.gateway.weight_targets import WeightTargets

# A lateness that callers feel is seen within three beats.
HOUSEKEEPING_SECONDS = 0.3
# Lines of one beat on nodes that are named less: with more of them it is the zone that is busy.
MOST_CHANGES_TOLD = 3
# A record lapses three beats after its engine's last one, which came at most one beat before
# the store went away.
BEATS_OF_A_LAPSE = 2
# For how long a node that stood still waits for the store's word before it uses what it believed:
# by then an outage is likelier than a slow answer (guess).
NEWS_WAIT_S = 2.0
LEASE_RENEW_INTERVAL_SECONDS = 0.7
LEASE_TIME_TO_LIVE_SECONDS = 2.0
LEASE_RETRY_INTERVAL_SECONDS = 0.3
LEASE_MARGIN_SECONDS = 0.2
MILLICORES = 1_000
# How many nodes contend for the right to give orders as soon as it is free.
LEADER_CANDIDATES = 3
LEADER_RANK_KEY = b"leader"
# A node that starts takes itself for the only one until it knows the others: of 195 that start
# together one knows 157 after this time (virtual time).
CANDIDATE_AFTER_S = 1.0


class Gateway(FollowerOwner, CurrencyOwner):
    """One node that forwards requests, and shares the work of control with its peers."""

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
        self.stopping = False
        self.memory = new_node_memory(settings, log, metrics)
        self._started_at = clock.now_s()
        self.view = ConfigurationView(bounds.key_proof_seconds - constants.KEY_PROOF_MARGIN_SECONDS)
        self._store = store
        engines = EngineTable()
        grace = bounds.version_grace_seconds - constants.WEIGHT_GRACE_MARGIN_SECONDS
        targets = WeightTargets(
            grace, bounds.version_grace_seconds - constants.WEIGHT_BEGIN_MARGIN_SECONDS
        )
        split = WeightedSplit()
        selector = EngineSelector(engines, targets, settings.zone)
        self._beliefs = Beliefs(
            decoder,
            self.view,
            engines,
            targets,
            selector,
            split,
            log,
            BEATS_OF_A_LAPSE * bounds.heartbeat_seconds,
        )
        self._beliefs.count_refused = metrics.refused_records.inc
        self._beliefs.incarnation_ended = self._on_incarnation_ended
        self._engines = engines
        self._allowance = self._new_allowance()
        self.admission = RequestAdmission(self.view, split)
        self._fleet = FleetSize()
        self._quotas = self._new_quotas()
        self._standstill = Standstill(NEWS_WAIT_S)
        self.capacity = NodeCapacity(settings.machine, HOUSEKEEPING_SECONDS)
        self._membership = self._new_membership()
        self._readers = ReaderPlan(self._membership.own)
        limits = ReaderLimits(settings.node, longest_mirror_age_s(bounds.news_seconds))
        self._follower = StoreFollower(store, "", self, limits)
        self._currency = CurrencyProver(
            store,
            self._follower,
            self._beliefs,
            self.view,
            self,
            bounds.news_seconds,
        )
        self._relay = RelayServer(self._follower, self.view, metrics.followers.set)
        self._silence = PeerSilence()
        self._loads = LoadBoard(engines)
        self._speeds = SpeedExchange(selector.speeds, settings.zone)
        self._capacities = NodeCapacities()
        self._busy = BusyNode()
        self._directory = CallerDirectory(self._capacities)
        callbacks = PeerCallbacks(
            self._on_member,
            self._currency.hear_version,
            self._on_notice,
            self._on_engine_update,
            self._on_loads,
            self._on_speeds,
            self._on_reading,
            self._on_spending,
            self._on_lost_runs,
            self._on_served,
            self._on_quarantined,
            self._on_limit_message,
        )
        self._peers = PeerLink(self._membership, callbacks)
        self._limits = selector.limits
        link = LimitLink(self._membership, self._fleet, self._peers, log, metrics)
        self._limits.peers = link
        self._gossip = EngineGossip(
            engines, self._limits, self._membership, self._peers, log, metrics
        )
        self._quarantine_records = QuarantineRecords(store, self._follower.mirror, log)
        self._quarantine = Quarantine(engines, log, metrics, self._peers, self._quarantine_records)
        ports = ForwardingPorts(selector, self._allowance, self._quotas, self._quarantine)
        ports.beliefs_hold = self._beliefs_hold
        self.forwarder = Forwarder(
            engines, ports, self._allowance, transport, log, metrics, self._quarantine
        )
        self.forwarder.reading_begun = self._tell_reading
        link.wake_waiting = self.forwarder.lines.wake_all
        self._leadership = self._new_leadership()
        self._controller = self._new_controller(orders, targets)
        self._fleet_record = FleetRecord(
            store, self._follower.mirror, self._fleet, lambda: self._leadership.fence, log
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._link_was_short = False
        self._store_era = 0
        self._slept_s = 0.0

    @property
    def ready(self) -> bool:
        """Whether this node serves callers.

        One that starts while the store is away may have another node's copy, and refuses all
        callers with a key until it, too, has a proof.
        """
        return not self.stopping and self.view.was_proven and len(self._engines) > 0

    @property
    def sheds_connections(self) -> bool:
        """Return whether callers are to close the connections on which they are answered."""
        return self.stopping or self._busy.closes

    async def start(self) -> None:
        """Begin to follow the store and to talk to peers."""
        await self._peers.listen(self.settings.peer_address)
        await self._relay.listen(self.settings.peer_address)
        for loop in (
            self._follower.run,
            self._currency.run,
            self._peers.run,
            self._controller.run,
            self._keep_house,
            self._keep_fleet_record,
            self._keep_quarantine,
            self._tell_loads,
        ):
            self._tasks.append(asyncio.ensure_future(self._supervise(loop)))
        self.log.belief(
            "started",
            zone=self.settings.zone,
            front=self.settings.front,
            counts_sleep=clock.counts_sleep(),
        )

    def leave(self) -> None:
        """Take no new callers: peers no longer name this node."""
        self.stopping = True
        self._peers.depart()
        self.log.belief("stopping")

    async def stop(self) -> None:
        """End; what this node led was handed over before."""
        for task in self._tasks:
            task.cancel()
        self._peers.close()
        self._relay.close()
        self.log.belief("stopped")

    async def resign(self) -> None:
        """Give no more orders; another node takes over."""
        await self._controller.stop()

    async def admit(self, incoming: IncomingRequest) -> OpaqueRequest | AdmissionRefusal:
        """Return the request to deliver, or why it is refused."""
        if self._busy.refuses:
            come_back_s = self._busy.come_back_s(random.random())
            why = f"lag_s={self.capacity.lag_s:.2f}"
            return AdmissionRefusal(ResultCode.NODE_BUSY, come_back_s, why)
        found = self.admission.admit(incoming, clock.now_s())
        if isinstance(found, AdmissionRefusal) and found.code is ResultCode.KEY_NOT_PROVEN:
            await self._currency.prove_within(constants.PROOF_WAIT_S)
            found = self.admission.admit(incoming, clock.now_s())
        if isinstance(found, AdmissionRefusal):
            return found
        refusal = self._quarantine.check(found) or self._quotas.check(found, clock.now_s())
        return refusal or found

    def addresses_for(self, zone: str, caller: str = "") -> list[str]:
        """Return the front addresses that a caller of a zone, told by its address, should use."""
        now = clock.now_s()
        named = self._directory.named(self._usable_members(now), zone, caller, now)
        self.metrics.named_nodes.set(len(named))
        return [self._front_of(member) for member in named]

    def _usable_members(self, now: float) -> list[Member]:
        """Return the members that take callers."""
        members = [m for m in self._membership.members() if m.condition is Condition.ALIVE]
        members = self._silence.speaking(members, now)
        if self.stopping:
            members = [m for m in members if m.node_id != self.settings.node]
        return members

    def _front_of(self, member: Member) -> str:
        host, _, _ = member.address.rpartition(":")
        _, _, port = self.settings.front.rpartition(":")
        return f"{host}:{port}"

    # Parts

    def _new_allowance(self) -> RetryAllowance:
        bounds = self.settings.bounds
        now = clock.now_s()
        slack_from = now if self.settings.first_start else now + bounds.retry_window_seconds
        return RetryAllowance(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_seconds, slack_from
        )

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
        return QuotaGate(buckets, self.log, self.metrics, self._tell_spending)

    def _new_leadership(self) -> Leadership:
        bounds = self.settings.bounds
        lease = LeaseParameters(
            time_to_live=max(bounds.least_lease_seconds, LEASE_TIME_TO_LIVE_SECONDS),
            renew_interval=LEASE_RENEW_INTERVAL_SECONDS,
            retry_interval=LEASE_RETRY_INTERVAL_SECONDS,
            safety_margin=bounds.thaw_seconds + LEASE_MARGIN_SECONDS,
        )
        parameters = TermParameters(lease, bounds.lease_seconds + bounds.thaw_seconds)
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
        if clock.now_s() - self._started_at < CANDIDATE_AFTER_S:
            return False
        candidates = ranked(LEADER_RANK_KEY, self._membership.members())[:LEADER_CANDIDATES]
        return self.settings.node in {member.node_id for member in candidates}

    def _beliefs_hold(self, now: float) -> bool:
        """Return whether what came while this process stood still is known."""
        self._beat(now)
        return self._standstill.is_over(now, self._follower.currency.as_of)

    def _beat(self, now: float) -> None:
        """Ask the store at once after a standstill: engines may have left meanwhile."""
        if self._standstill.beat(now):
            slept_s = clock.slept_s()
            self.metrics.standstills.inc()
            self.log.belief(
                "woken",
                stood_still_s=round(self._standstill.gap_s, 3),
                slept_s=round(slept_s - self._slept_s, 3),
                counts_sleep=clock.counts_sleep(),
                mirror_age_s=rounded_age(self._follower.currency.age_s(now)),
            )
            self._slept_s = slept_s
            # Timers stood as long as the machine slept.
            self.forwarder.renew_limits()
            self._currency.ask_soon()

    # What others tell

    def mirror_changed(self, change: MirrorChange, known_until: float) -> None:
        """Take in a change of the store's mirror, and pass it on."""
        self._relay.publish(change)
        if change.restored:
            self._note_restored(era_of(self._follower.mirror.at))
            self._fleet_record.skip()
        else:
            self._fleet_record.recall(clock.now_s())
        before = self.view.version
        self._beliefs.apply(change, known_until)
        self._take_quarantine(change)
        self._announce_if_newer(before)
        self.forwarder.lines.wake_all()

    def store_era_began(self, era: int) -> None:
        """Note that an answer of the store names a later era: it came back from an older copy."""
        self._note_restored(era)
        self._follower.era_began()

    def store_era_refused(self, era: int, told: str) -> None:
        """Note that an answer of the store is of an earlier era than is known, or tells none."""
        self.metrics.refused_eras.inc()
        self.log.store_era_refused(told_era(era), told)

    def _note_restored(self, era: int) -> None:
        if era <= self._store_era:
            return
        self._store_era = era
        self.metrics.store_era.set(era - 1)
        at = self._follower.mirror.at
        self.log.belief(
            "store_restored",
            era=told_era(era),
            copy_era=told_era(era_of(at)),
            at=revision_of(at),
        )
        self._leadership.store_restored()
        self._currency.store_restored()

    def configuration_read(self, item: StoredItem) -> None:
        """Take in a configuration that the mirror does not have yet."""
        self._relay.publish_early(item)
        before = self.view.version
        self._beliefs.apply_item(item, self._follower.currency.as_of)
        self._announce_if_newer(before)

    def range_read(self, asked_at: float) -> None:
        """Take the reading of the whole range as a proof of currency."""
        now = clock.now_s()
        self.log.belief(
            "store_read",
            at=self._follower.mirror.at,
            call_s=round(now - asked_at, 3),
            mirror_age_s=rounded_age(self._follower.currency.age_s(now)),
        )
        self._currency.range_read(asked_at)

    def watch_behind(self, revision: int) -> None:
        """Log that the watch did not bring what a reading named."""
        self.log.belief("watch_behind", at=self._follower.mirror.at, revision=revision)

    def own_name(self) -> str:
        """Return the name of this node."""
        return self.settings.node

    def reads_for_others(self) -> bool:
        """Return whether this node is to read the store, and not only until it may follow."""
        return self._readers.serves_others(self._membership.members())

    def store_connection(self, connected: bool) -> None:
        """Note that the store was lost or regained."""
        self.log.belief("store", connected=connected, at=self._follower.mirror.at)

    def relay_answered(self, answer: RelayAnswer, asked_at: float) -> None:
        """Take the proof of the reader that this node follows."""
        self._currency.take_answer(answer, asked_at)

    def reader_to_follow(self, store_lost: bool) -> Member | None:
        """Return the node whose mirror to follow, or None to read the store itself."""
        members = self._membership.members()
        return self._readers.reader(members, clock.now_s(), store_lost)

    def keeps_reader(self, reader: Member, since: float) -> bool:
        """Return whether a node that was followed since a time is still one to follow."""
        members = self._membership.members()
        return self._readers.keeps(reader, members, since, clock.now_s())

    def reader_followed(self, reader: Member, store_lost: bool) -> None:
        """Log whom this node follows from now on, and what it knows before."""
        now = clock.now_s()
        self.log.belief(
            "reader_followed",
            reader=reader.node_id,
            store_lost=store_lost,
            at=self._follower.mirror.at,
            mirror_age_s=rounded_age(self._follower.currency.age_s(now)),
            proof_age_s=rounded_age(self.view.proof_age(now)),
        )

    def reader_lost(self, reader: Member, reason: str) -> None:
        """Leave a reader alone for a while that serves this node no more."""
        self._readers.avoid(reader.node_id, clock.now_s())
        self.log.belief("reader_lost", reader=reader.node_id, reason=reason)

    def _announce_if_newer(self, before: int) -> None:
        if self.view.version != before:
            self._quotas.configure(self.view, clock.now_s())
            self._peers.announce_version(self.view.version)

    def _on_member(self, member: Member) -> None:
        alive = len(self._membership.members())
        self._allowance.nodes = max(self._allowance.nodes, alive)
        self._fleet.note(alive, clock.now_s())
        if member.condition is Condition.ALIVE:
            self._gossip.tell_joiner(member)
        if member.condition >= Condition.DEAD:
            self._silence.forget(member.node_id)
            self._capacities.forget(member.node_id)
        self._beliefs.selector.parts.nodes = alive
        self.log.belief(
            "peer",
            peer=member.node_id,
            condition=member.condition.name.lower(),
            incarnation=member.incarnation,
        )

    def hear_engine(self, word: EngineSignal) -> None:
        """Take in what an engine says of itself in an answer to this node."""
        self._gossip.hear(word)

    def _on_engine_update(self, update: UnrecordedEngineState) -> None:
        self._gossip.apply_update(update)

    def _on_notice(self, notice: EngineNotice) -> None:
        until = clock.now_s() + constants.LOADING_BELIEF_SECONDS
        self._engines.apply_notice(notice, until)
        if not notice.loading:
            self.forwarder.lines.wake_all()

    def _on_loads(self, report: LoadReport) -> None:
        now = clock.now_s()
        of_zone = report.zone == self.settings.zone
        self._beliefs.selector.parts.directory.apply_updates(report.kept, now, of_zone)
        self._quotas.apply_report(report, now)
        if report.kept:
            self.forwarder.lines.wake_all()
        if report.scope is LoadScope.NODE:
            self._silence.note(report.node, now)
            self._loads.take(report.node, report.loads, now, report.zone)
            if report.node_word is not None:
                self._capacities.take(report.node, report.node_word, now)
            return
        if report.node_word is not None:
            self._capacities.take_zone(report.zone, report.node_word, now)
        self._loads.take_zone(report.zone, report.loads, now)
        members = self._membership.members()
        words = topology_for(members).relayed(self._membership.own, report, members)
        self._peers.send_loads(words)

    def _on_speeds(self, report: LoadReport) -> None:
        self._speeds.hear(report, clock.now_s())
        members = self._membership.members()
        words = topology_for(members).relayed(self._membership.own, report, members)
        self._peers.send_loads(words)

    def _take_quarantine(self, change: MirrorChange) -> None:
        now = clock.now_s()
        for item in change.written:
            entry = self._quarantine_records.read(item)
            if entry is not None:
                self._quarantine.hear_record(entry, now)
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
        self._quarantine.hear_lost(node, runs, clock.now_s())

    def _on_quarantined(self, entry: QuarantineEntry) -> None:
        self._quarantine.hear_quarantined(entry, clock.now_s())

    def _on_limit_message(self, node: str, message: LimitMessage) -> None:
        self._limits.receive(node, message, clock.now_s())

    def _on_served(self, fingerprint: bytes) -> None:
        self._quarantine.hear_served(fingerprint, clock.now_s())

    def _on_reading(self, engine_number: int, tokens: int) -> None:
        self._loads.hear_reading(engine_number, tokens, clock.now_s())

    def _tell_reading(self, view: EngineView, tokens: int) -> None:
        self._loads.note_own_reading(view, tokens, clock.now_s())
        self._peers.tell_reading(view.number, tokens)

    def _on_spending(self, sender: str, notice: SpendingNotice) -> None:
        self._quotas.buckets.hear_spending(sender, notice, clock.now_s())

    def _tell_spending(self, notice: SpendingNotice) -> None:
        self._peers.tell_spending(notice)

    async def _send_notices(self, notices: list[EngineNotice]) -> None:
        for notice in notices:
            self._on_notice(notice)
        await self._peers.broadcast(notices)

    # Loops

    async def _supervise(self, loop: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a loop that never ends by itself, and begin it anew should it fail."""
        while True:
            try:
                await loop()
            except Exception as error:
                self.log.belief("task_failed", task=loop.__qualname__, error=repr(error))
            await asyncio.sleep(constants.BACKGROUND_RESTART_SECONDS)

    async def _tell_loads(self) -> None:
        """Tell peers of this node's load while there is any, and once when there is none."""
        own = self._membership.own
        had_load = False
        reported_at = 0.0
        while True:
            now = clock.now_s()
            members = self._membership.members()
            topology = topology_for(members)
            kept = self._beliefs.selector.parts.directory.updates(now)
            words = topology.own_word(own, self._loads, kept, members)
            has_load = any(word.report.loads or word.report.kept for word in words)
            is_due = now - reported_at >= IDLE_REPORT_S
            if has_load or had_load or is_due:
                words = [self._quotas.with_quota(word, now) for word in words]
                self._peers.send_loads([self._add_capacity(word, now) for word in words])
                reported_at = now
            self._peers.send_loads(self._speeds.words(words, now))
            had_load = has_load
            self._loads.expire(now)
            await ticks.pause(topology.interval_s(own, members))

    def _add_capacity(self, word: SendLoads, now: float) -> SendLoads:
        """Return a word of load with what this node, or its zone, can bear and bears."""
        if word.report.scope is LoadScope.NODE:
            told = self.capacity.word()
        else:
            zone = self.settings.zone
            nodes = [m.node_id for m in self._membership.members() if m.zone == zone]
            told = self._capacities.total(nodes, now)
        return replace(word, report=replace(word.report, node_word=told))

    def _measure_capacity(self, now: float) -> None:
        """Note what this node bears, and log which nodes are named less or in full again."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        free_bytes = self.memory.budget.free_bytes if self.memory is not None else 0
        self.capacity.beat(now, used.ru_utime + used.ru_stime, free_bytes)
        word = self.capacity.word()
        self._capacities.take(self.settings.node, word, now)
        self.metrics.show_capacity(word, self.capacity.lag_s)
        self._shed(now)
        changes = self._directory.beat(self._usable_members(now), self.settings.zone, now)
        for change in changes[:MOST_CHANGES_TOLD]:
            self.log.belief("node_named", of=len(changes), **change.inputs())

    def _shed(self, now: float) -> None:
        """Decide what this node sheds, and log where that changed."""
        own = self.settings
        others = [
            m.node_id
            for m in self._usable_members(now)
            if m.zone == own.zone and m.node_id != own.node
        ]
        lag_s = self.capacity.lag_s
        others_late_s = self._capacities.total(others, now).late_s
        if self._busy.beat(lag_s, self.capacity.late_beats, others_late_s):
            self.log.belief(
                "node_busy",
                closes=self._busy.closes,
                refuses=self._busy.refuses,
                lag_s=round(lag_s, 3),
                others_late_s=round(others_late_s, 3),
            )

    def _tell_of_parts(self, now: float) -> None:
        """Count, and log where it changed, whether parts can be moved to and from stores."""
        parts = self._beliefs.selector.parts
        is_short = parts.is_link_short(now)
        self.metrics.held_seconds.set(parts.directory.held_s)
        self.metrics.store_link_short.set(is_short)
        if is_short != self._link_was_short:
            self._link_was_short = is_short
            held_s = round(parts.directory.held_s, 2)
            self.log.belief("store_link", short=is_short, nodes=parts.nodes, held_s=held_s)

    def _note_speeds(self, now: float) -> None:
        """Work out how fast engines are, and tell operators of what changed."""
        speeds = self._beliefs.selector.speeds
        for change in speeds.refresh(now):
            self.log.belief(
                "engine_slow" if change.slowness > 1.0 else "engine_well",
                engine=change.view.engine_id,
                service=change.view.record.service,
                work=change.work,
                slowness=round(change.slowness, 2),
                pace_us=round(1e6 * change.pace_s, 2),
                own_work_s=round(change.own_work_s, 3),
                sources=change.sources,
            )
        self.metrics.record_speeds(speeds.figures())

    async def _keep_fleet_record(self) -> None:
        while True:
            await self._fleet_record.write_if_due(clock.now_s())
            await ticks.pause(HOUSEKEEPING_SECONDS)

    async def _keep_quarantine(self) -> None:
        while True:
            await self._quarantine_records.write_due()
            self._quarantine.expire(clock.now_s())
            await self._quarantine_records.wait(HOUSEKEEPING_SECONDS)

    async def _keep_house(self) -> None:
        while True:
            now = clock.now_s()
            self._beat(now)
            self._measure_capacity(now)
            self._beliefs.expire(now)
            self._engines.conditions.expire((view.condition for view in self._engines), now)
            self.metrics.limited_engines.set(len(self._limits.in_force()))
            self._limits.expire((view.identity for view in self._engines), now)
            self._follower.reconsider()
            self.metrics.version.set(self.view.version)
            self.metrics.engines.set(len(self._engines))
            self.metrics.reads_store.set(self._follower.followed is None)
            self.metrics.proof_age.set(self.view.proof_age(now))
            self.metrics.mirror_age.set(self._follower.currency.age_s(now))
            self.metrics.peers.set(len(self._membership.members()))
            depth, age_s = self.forwarder.lines.depth_and_age_s(now)
            self.metrics.line_depth.set(depth)
            self.metrics.line_age.set(age_s)
            self._tell_of_parts(now)
            self._note_speeds(now)
            self._fleet.note(len(self._membership.members()), now)
            self._quotas.expire(now)
            if self.memory is not None:
                self.memory.watch(now)
            await ticks.pause(HOUSEKEEPING_SECONDS)
