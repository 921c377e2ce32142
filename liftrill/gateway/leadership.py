"""Leader election: one node at a time may send orders, by a lease in the store.

The leader's key carries the fencing token. A second key, the activity key, records whether orders
were sent recently. The leader must write it, on condition that it still has its lease, before
its first order. A successor takes the lease on condition that the activity key is unchanged. So
the successor of an idle leader may send orders at once, and that of a busy leader waits until the
last orders cannot be under way any more.
"""

import asyncio
import math
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from liftrill import clock
from liftrill.coordination.lease import AcquireLease, Lease, LeaseParameters, RenewLease
from liftrill.coordination.range_store import (
    ConditionFailedError,
    Expectation,
    LeaseGoneError,
    PutItem,
    RangeStore,
    StoredItem,
)
from liftrill.coordination.store_mirror import StoreMirror
from liftrill.coordination.store_position import MAX_ERA, era_of, relative_position
from liftrill.errors import StoreAnswerLostError, StoreError, StoreUnavailableError
from liftrill.gateway.decision_log import DecisionLog

LEADER_KEY = "liftrill/leader"
ACTIVITY_KEY = "liftrill/orders"
# The era in which fencing tokens equal bare revisions, as nodes that know no eras use them.
BASE_ERA_KEY = "liftrill/base-era"
IDLE = b"idle"
RENEW_INTERVAL_S = 0.7
TIME_TO_LIVE_S = 2.0
RETRY_INTERVAL_S = 0.3
SAFETY_MARGIN_S = 0.2
# Time limits of the attempts to renew the lease; the last one suffices for a slow store.
RENEWAL_TIMEOUTS_S = (0.35, 0.35, 1.0)


@dataclass(frozen=True, slots=True)
class TermParameters:
    """Times in seconds.

    Attributes:
        lease: times of the lease itself.
        quiet_period: wait before the first order of a term that follows a busy leader's.
        non_candidate_delay: how long the key must be free before a non-candidate contends.
    """

    lease: LeaseParameters
    quiet_period: float
    non_candidate_delay: float = 1.2


def term_parameters(min_lease_s: float, controller_lease_s: float, thaw_s: float) -> TermParameters:
    """Return the times of a leader's term.

    `min_lease_s` is the shortest lease of the store. Orders of two leaders lie at least
    `controller_lease_s` apart, and those that a process sends right after it was resumed arrive
    within `thaw_s`.
    """
    lease = LeaseParameters(
        time_to_live=max(min_lease_s, TIME_TO_LIVE_S),
        renew_interval=RENEW_INTERVAL_S,
        retry_interval=RETRY_INTERVAL_S,
        safety_margin=thaw_s + SAFETY_MARGIN_S,
    )
    return TermParameters(lease, controller_lease_s + thaw_s)


class Leadership:
    """One node's part in the leader election."""

    def __init__(
        self,
        store: RangeStore,
        mirror: StoreMirror,
        node: str,
        parameters: TermParameters,
        log: DecisionLog,
        clock: Callable[[], float] = clock.now_s,
        is_candidate: Callable[[], bool] = lambda: True,
    ) -> None:
        self._clock = clock
        self._is_candidate = is_candidate
        self._key_free_since: float | None = None
        self._store = store
        self._mirror = mirror
        self._node = node
        self._parameters = parameters
        self._log = log
        self._lease = Lease(parameters.lease)
        self._store_lease = 0
        self._quiet_until = 0.0
        self._contend_after = 0.0
        self._may_resume = False
        # Position of the leader's key that this node knew when the store was restored, or 0.
        self._pre_restore_revision = 0
        self._renewed_at = -math.inf
        self._base_era: int | None = None
        self._active = False
        self._activity_revision = 0
        self._last_order_at = -math.inf
        self._retired = False
        self._call_failure = ""

    @property
    def fence(self) -> int:
        """The position of this node's leader key in the current term, or 0."""
        return self._lease.token or 0

    @property
    def order_fence(self) -> int:
        """The fencing token of the current term, or 0; it is higher than that of any earlier term.

        Nodes of older builds know no eras and use bare revisions. Until the store is restored
        from an older copy, their tokens and these are ordered with each other.
        """
        return relative_position(self.fence, self._base_era or 0)

    def _known_base_era(self) -> int:
        """Return the base era: the one recorded in the store, or the first that this node knew."""
        recorded = self._mirror.number(BASE_ERA_KEY, MAX_ERA)
        if recorded is not None:
            self._base_era = recorded
        elif self._base_era is None:
            self._base_era = era_of(self._mirror.position)
        return self._base_era

    def may_order(self, now: float) -> bool:
        """Return whether an order may be sent now."""
        return self._active and self._lease.holds(now) and now >= self._quiet_until

    def holds(self, now: float) -> bool:
        """Return whether this node holds the lease, as far as it knows."""
        return self._lease.holds(now)

    async def acquire_or_renew(self) -> None:
        """Acquire or renew the lease if that is due."""
        if self._retired:
            return
        if self._mirror.position:
            self._known_base_era()
        now = self._clock()
        previous_fence = self.fence
        instruction = self._lease.due(now)
        if previous_fence and not self.fence:
            self._log_loss("expired")
        try:
            if isinstance(instruction, RenewLease):
                await self._renew()
            elif isinstance(instruction, AcquireLease):
                await self._contend()
        except StoreError as error:
            self._log_call_outcome(type(error).__name__)
        else:
            self._log_call_outcome("")

    async def mark_active(self) -> None:
        """Mark the term as active in the store before its first order, so that successors wait."""
        if self._active:
            return
        try:
            self._activity_revision = await self._write_activity(self._node.encode(), self.fence)
        except (StoreAnswerLostError, ConditionFailedError):
            if not await self._has_written_activity():
                raise
        self._active = True

    def record_order(self, now: float) -> None:
        """Record that an order is sent now."""
        self._last_order_at = now

    async def mark_idle(self, now: float) -> None:
        """Mark the term as idle, once the last order is so old that a successor need not wait."""
        if not self._active or not self._is_quiet(now):
            return
        self._activity_revision = await self._write_activity(IDLE, self.fence)
        self._active = False

    async def resign(self) -> None:
        """Release the lease, so that another node can take over at once.

        The successor waits only if orders were sent in the quiet period, not if this term was
        marked as active for orders that it did not send.
        """
        lease, self._store_lease = self._store_lease, 0
        self._renewed_at = -math.inf
        fence, marks_idle = self.fence, self._active and self._is_quiet(self._clock())
        if fence:
            self._log_loss("resigned")
        self._lease.step_down()
        self._active = False
        # Also after a step-down: this node's key would keep all others from leading until the
        # lease expires.
        if not lease:
            return
        if marks_idle:
            # If this fails, the successor waits in vain.
            with suppress(StoreError):
                await self._write_activity(IDLE, fence)
        try:
            await self._store.revoke_lease(lease)
        except StoreError as error:
            self._log.state_changed("leader_key_left", lease=lease, reason=type(error).__name__)

    async def retire(self) -> None:
        """Release the lease and stop contending, because this node is about to stop."""
        self._retired = True
        await self.resign()

    def step_down(self, reason: str) -> None:
        """Stop sending orders, because another node may lead or the lease cannot be used."""
        if self.fence:
            self._log_loss(reason)
        self._lease.step_down()
        self._active = False

    def store_restored(self) -> None:
        """Handle a restore of the store from an older copy, where no earlier lease is valid.

        The former leader may not have noticed yet, and the copy may record it as idle. Other
        nodes therefore wait the quiet period before their first order, and leave the key to the
        former leader for a while: it need not wait. Otherwise each restore would stop weight
        loads for seconds.
        """
        self._store_lease = 0
        self._key_free_since = None
        previous = self._mirror.get(LEADER_KEY)
        self._pre_restore_revision = previous.revision if previous is not None else 0
        now = self._clock()
        # Nobody else can have had the key within the time to live of this node's lease.
        self._may_resume = now - self._renewed_at < self._parameters.lease.time_to_live
        if self._may_resume:
            self.step_down("the store was restored from an older copy")
            return
        self._quiet_until = max(self._quiet_until, now + self._parameters.quiet_period)
        self._contend_after = now + self._parameters.non_candidate_delay

    def _is_quiet(self, now: float) -> bool:
        """Return whether the last orders, also of a predecessor, are a quiet period old."""
        since_order_s = now - self._last_order_at
        return since_order_s >= self._parameters.quiet_period and now >= self._quiet_until

    async def _write_activity(self, value: bytes, fence: int) -> int:
        return await self._store.transact(
            (
                Expectation(LEADER_KEY, fence),
                Expectation(ACTIVITY_KEY, self._activity_revision),
            ),
            (PutItem(ACTIVITY_KEY, value),),
        )

    async def _has_written_activity(self) -> bool:
        """Return whether a write of this term succeeded although its response was lost.

        Only this node writes its own name, and a write of an earlier term is not newer than the
        revision that this term began with.
        """
        result = await self._store.read(ACTIVITY_KEY)
        item = result.item
        if item is None or item.value != self._node.encode():
            return False
        if item.revision <= self._activity_revision:
            return False
        self._activity_revision = item.revision
        return True

    async def _renew(self) -> None:
        try:
            asked_at = await self._renew_store_lease()
        except LeaseGoneError:
            self._store_lease = 0
            self.step_down("the lease expired in the store")
            return
        self._lease.renewed(asked_at)
        self._renewed_at = asked_at

    async def _renew_store_lease(self) -> float:
        """Renew the lease in the store, and return when the successful request was sent.

        A failed renewal is retried at once: renewing twice does no harm, and a lost response
        must not cost the remaining time of the lease.
        """
        for timeout_s in RENEWAL_TIMEOUTS_S[:-1]:
            asked_at = self._clock()
            with suppress(StoreUnavailableError, StoreAnswerLostError, TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self._store.renew_lease(self._store_lease)
                    return asked_at
        asked_at = self._clock()
        await self._store.renew_lease(self._store_lease)
        return asked_at

    async def _contend(self) -> None:
        leader = self._mirror.get(LEADER_KEY)
        if leader is not None:
            if leader.revision == self._pre_restore_revision:
                # The key from before the restore: the mirror has not read the copy yet.
                return
            self._key_free_since = None
            self._may_resume = False
            await self._resume_own_term(leader)
            return
        now = self._clock()
        if now < self._contend_after:
            return
        if self._key_free_since is None:
            self._key_free_since = now
        # Store calls cost money and few candidates suffice; the other nodes are their reserve.
        if (
            self._may_resume
            or self._is_candidate()
            or now - self._key_free_since >= self._parameters.non_candidate_delay
        ):
            await self._acquire()

    async def _resume_own_term(self, leader: StoredItem) -> None:
        """Resume the term if the leader's key belongs to this node's lease.

        The response to writing the key, or to a renewal, may have been lost. The key is deleted
        with its lease, so if the lease can be renewed, nobody else can have led meanwhile.
        """
        if not self._store_lease or leader.lease != self._store_lease:
            return
        try:
            asked_at = await self._renew_store_lease()
        except LeaseGoneError:
            self._store_lease = 0
            return
        self._begin_term(leader.revision, self._mirror.get(ACTIVITY_KEY), asked_at)

    async def _acquire(self) -> None:
        await self._record_base_era()
        activity = self._mirror.get(ACTIVITY_KEY)
        expected = (
            Expectation(LEADER_KEY, 0),
            Expectation(ACTIVITY_KEY, activity.revision if activity else 0),
        )
        asked_at = self._clock()
        lease = await self._store.grant_lease(self._parameters.lease.time_to_live)
        self._store_lease = lease
        # The key is the only item of its transaction: a store may count each item as a change,
        # so that only then the returned revision is certainly the key's.
        fence = await self._store.transact(
            expected, (PutItem(LEADER_KEY, self._node.encode(), lease),)
        )
        self._begin_term(fence, activity, asked_at)

    async def _record_base_era(self) -> None:
        """Record the era from which all fencing tokens count, unless the store has it."""
        base_era = self._known_base_era()
        if base_era and self._mirror.get(BASE_ERA_KEY) is None:
            await self._store.transact(
                (Expectation(BASE_ERA_KEY, 0),),
                (PutItem(BASE_ERA_KEY, str(base_era).encode()),),
            )

    def _begin_term(self, fence: int, activity: StoredItem | None, asked_at: float) -> None:
        self._lease.acquired(str(self._store_lease), fence, asked_at)
        self._renewed_at = asked_at
        self._active = False
        self._activity_revision = activity.revision if activity else 0
        holder = activity.value if activity else IDLE
        now = self._clock()
        must_wait = holder not in (IDLE, self._node.encode())
        # A resumed term still waits for the end of its quiet period.
        quiet_until = now + self._parameters.quiet_period if must_wait else now
        self._quiet_until = max(self._quiet_until, quiet_until)
        if holder == self._node.encode():
            # Possibly of this node's process before a restart, whose orders are not known.
            self._last_order_at = now
        self._log.state_changed(
            "leading", fence=fence, predecessor=holder.decode(errors="replace"), waits=must_wait
        )

    def _log_call_outcome(self, failure: str) -> None:
        """Log the outcome of a lease call if it differs from the last; calls are repeated."""
        if failure != self._call_failure:
            self._call_failure = failure
            self._log.state_changed("lease_calls", failure=failure)

    def _log_loss(self, reason: str) -> None:
        self._log.state_changed("not_leading", fence=self.fence, reason=reason)
