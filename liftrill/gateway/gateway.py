"""Assembles one gateway from its parts."""

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any

from liftrill import clock, constants
from liftrill.coordination import rendezvous
from liftrill.coordination.crash_evidence import LostRun
from liftrill.coordination.lease import LeaseParameters
from liftrill.coordination.membership import Membership
from liftrill.coordination.membership_messages import Condition, Member
from liftrill.coordination.quota import FleetSize, SharedBuckets
from liftrill.coordination.range_store import RangeStore, StoredItem
from liftrill.coordination.store_mirror import MirrorChange
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
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineNotice, EngineTable, EngineView
from liftrill.gateway.fleet_record import FleetRecord
from liftrill.gateway.forwarder import Forwarder, ForwardingPorts
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.leadership import Leadership, TermParameters
from liftrill.gateway.opaque_request import OpaqueRequest
from liftrill.gateway.order_client import OrderClient
from liftrill.gateway.peers.load_board import LoadBoard
from liftrill.gateway.peers.load_exchange import LoadReport, LoadScope, topology_for
from liftrill.gateway.peers.peer_link import PeerCallbacks, PeerLink, new_membership
from liftrill.gateway.peers.peer_silence import IDLE_REPORT_S, PeerSilence
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

HOUSEKEEPING_SECONDS = 0.3
# A record lapses three beats after its engine's last one, which came at most one beat before
# the store went away.
BEATS_OF_A_LAPSE = 2
# For how long a node that stood still waits for the store's word before it uses what it believed:
# by then an outage is likelier than a slow answer (guess).
NEWS_WAIT_S = 2.0
# With fewer nodes than this in the caller's zone, nodes of all zones are named.
LEAST_NODES_OF_A_ZONE = 2
LEASE_RENEW_INTERVAL_SECONDS = 0.7
LEASE_TIME_TO_LIVE_SECONDS = 2.0
LEASE_RETRY_INTERVAL_SECONDS = 0.3
LEASE_MARGIN_SECONDS = 0.2
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
        self._engines = engines
        self._allowance = self._new_allowance()
        self.admission = RequestAdmission(self.view, split)
        self._fleet = FleetSize()
        self._quotas = self._new_quotas()
        self._standstill = Standstill(NEWS_WAIT_S)
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
        callbacks = PeerCallbacks(
            self._on_member,
            self._currency.hear_version,
            self._on_notice,
            self._on_loads,
            self._on_reading,
            self._quotas.buckets.hear_spending,
            self._on_lost_runs,
            self._on_served,
            self._on_quarantined,
        )
        self._peers = PeerLink(self._membership, callbacks)
        self._quarantine_records = QuarantineRecords(store, self._follower.mirror, log)
        self._quarantine = Quarantine(engines, log, metrics, self._peers, self._quarantine_records)
        ports = ForwardingPorts(selector, self._allowance, self._quotas, self._quarantine)
        ports.beliefs_hold = self._beliefs_hold
        self.forwarder = Forwarder(
            engines, ports, self._allowance, transport, log, metrics, self._quarantine
        )
        self.forwarder.reading_begun = self._tell_reading
        self._leadership = self._new_leadership()
        self._controller = self._new_controller(orders, targets)
        self._fleet_record = FleetRecord(
            store, self._follower.mirror, self._fleet, lambda: self._leadership.fence, log
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._link_was_short = False
        self._slept_s = 0.0

    @property
    def ready(self) -> bool:
        """Whether this node serves callers."""
        return not self.stopping and self.view.current is not None and len(self._engines) > 0

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
        found = self.admission.admit(incoming, clock.now_s())
        if isinstance(found, AdmissionRefusal) and found.code is ResultCode.KEY_NOT_PROVEN:
            await self._currency.prove_within(constants.PROOF_WAIT_S)
            found = self.admission.admit(incoming, clock.now_s())
        if isinstance(found, AdmissionRefusal):
            return found
        refusal = self._quarantine.check(found) or self._quotas.check(found, clock.now_s())
        return refusal or found

    def addresses_for(self, zone: str) -> list[str]:
        """Return the front addresses that a caller of a zone should use."""
        members = [m for m in self._membership.members() if m.condition is Condition.ALIVE]
        members = self._silence.speaking(members, clock.now_s())
        if self.stopping:
            members = [m for m in members if m.node_id != self.settings.node]
        local = [member for member in members if member.zone == zone]
        chosen = local if len(local) >= LEAST_NODES_OF_A_ZONE else members
        return [self._front_of(m) for m in chosen][: constants.RESOLVE_ADDRESSES]

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
        names = [member.node_id for member in self._membership.members()]
        ranked = rendezvous.rank(LEADER_RANK_KEY, names)
        return self.settings.node in ranked[:LEADER_CANDIDATES]

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
        self._fleet_record.recall(clock.now_s())
        before = self.view.version
        self._beliefs.apply(change, known_until)
        self._take_quarantine(change)
        self._announce_if_newer(before)
        self.forwarder.engine_signal.notify()

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
        if member.condition >= Condition.DEAD:
            self._silence.forget(member.node_id)
        self._beliefs.selector.parts.nodes = alive
        self.log.belief(
            "peer",
            peer=member.node_id,
            condition=member.condition.name.lower(),
            incarnation=member.incarnation,
        )

    def _on_notice(self, notice: EngineNotice) -> None:
        until = clock.now_s() + constants.LOADING_BELIEF_SECONDS
        self._engines.apply_notice(notice, until)
        if not notice.loading:
            self.forwarder.engine_signal.notify()

    def _on_loads(self, report: LoadReport) -> None:
        now = clock.now_s()
        of_zone = report.zone == self.settings.zone
        self._beliefs.selector.parts.directory.hear(report.kept, now, of_zone)
        self._quotas.hear(report, now)
        if report.kept:
            self.forwarder.engine_signal.notify()
        if report.scope is LoadScope.NODE:
            self._silence.note(report.node, now)
            self._loads.take(report.node, report.loads, now, report.zone)
            return
        self._loads.take_zone(report.zone, report.loads, now)
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
            if fingerprint is not None:
                self._quarantine.release(fingerprint, now)

    def _on_lost_runs(self, node: str, runs: list[LostRun]) -> None:
        self._quarantine.hear_lost(node, runs, clock.now_s())

    def _on_quarantined(self, entry: QuarantineEntry) -> None:
        self._quarantine.hear_quarantined(entry, clock.now_s())

    def _on_served(self, fingerprint: bytes) -> None:
        self._quarantine.hear_served(fingerprint, clock.now_s())

    def _on_reading(self, engine_number: int, tokens: int) -> None:
        self._loads.hear_reading(engine_number, tokens, clock.now_s())

    def _tell_reading(self, view: EngineView, tokens: int) -> None:
        self._loads.note_own_reading(view, tokens, clock.now_s())
        self._peers.tell_reading(view.number, tokens)

    def _tell_spending(self, tenant: str, amount: float) -> None:
        self._peers.tell_spending(tenant, amount)

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
            kept = self._beliefs.selector.parts.directory.news(now)
            words = topology.own_word(own, self._loads, kept, members)
            has_load = any(word.report.loads or word.report.kept for word in words)
            is_due = now - reported_at >= IDLE_REPORT_S
            if has_load or had_load or is_due:
                self._peers.send_loads([self._quotas.add_to(word, now) for word in words])
                reported_at = now
            had_load = has_load
            self._loads.expire(now)
            await ticks.pause(topology.interval_s(own, members))

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
            self._beliefs.expire(now)
            self._follower.reconsider()
            self.metrics.version.set(self.view.version)
            self.metrics.engines.set(len(self._engines))
            self.metrics.reads_store.set(self._follower.followed is None)
            self.metrics.proof_age.set(self.view.proof_age(now))
            self.metrics.mirror_age.set(self._follower.currency.age_s(now))
            self.metrics.peers.set(len(self._membership.members()))
            self._tell_of_parts(now)
            self._fleet.note(len(self._membership.members()), now)
            self._quotas.expire(now)
            await ticks.pause(HOUSEKEEPING_SECONDS)
