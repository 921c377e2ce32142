"""One node at a time may give orders: a lease in the store, with a fencing token.

Besides the leader's key there is one that says whether orders were given lately. The
leader must write it, on condition that it still has its lease, before its first order; a
successor takes the lease on condition that this key is as it knows it. So a successor of
an idle leader may begin at once, and one of a busy leader waits until the leader's
last orders are long past.
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
from liftrill.coordination.store_position import era_of, lifted
from liftrill.errors import StoreAnswerLostError, StoreError, StoreUnavailableError
from liftrill.gateway.decision_log import DecisionLog

LEADER_KEY = "liftrill/leader"
ACTIVITY_KEY = "liftrill/orders"
# The era in which fences are bare revisions, as those of nodes that know of no eras.
BASE_ERA_KEY = "liftrill/base-era"
IDLE = b"idle"
# How long each try of a renewal may take. A store that is slow answers the last one.
RENEWAL_TIMEOUTS_S = (0.35, 0.35, 1.0)


@dataclass(frozen=True, slots=True)
class TermParameters:
    """Times in seconds.

    Attributes:
        lease: times of the lease itself.
        quiet: how long no order may come from a busy predecessor before the first one.
        stand_back: how long a node that is no candidate leaves the key to the candidates.
    """

    lease: LeaseParameters
    quiet: float
    stand_back: float = 1.2


class Leadership:
    """One contender for the right to give orders."""

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
        self._free_since: float | None = None
        self._store = store
        self._mirror = mirror
        self._node = node
        self._parameters = parameters
        self._log = log
        self._lease = Lease(parameters.lease)
        self._store_lease = 0
        self._quiet_until = 0.0
        self._stands_back_until = 0.0
        self._resumes = False
        # The position of the leader's key that this node knew as the store came back, or 0.
        self._former_key = 0
        self._renewed_at = -math.inf
        self._base_era: int | None = None
        self._active = False
        self._activity_revision = 0
        self._last_order_at = 0.0
        self._retired = False
        self._call_failure = ""

    @property
    def fence(self) -> int:
        """The position of this node's key in the present term, or 0."""
        return self._lease.token or 0

    @property
    def order_fence(self) -> int:
        """The fencing token of the present term, or 0: higher than that of any term before.

        Nodes of builds that know of no eras use bare revisions: as long as the store has not
        come back from an older copy, theirs and this one follow each other.
        """
        return lifted(self.fence, self._base_era or 0)

    def _known_base_era(self) -> int:
        """Return the base era: of the store's record, or the first that this node knew."""
        item = self._mirror.get(BASE_ERA_KEY)
        if item is not None and item.value.isdigit():
            self._base_era = int(item.value)
        elif self._base_era is None:
            self._base_era = era_of(self._mirror.at)
        return self._base_era

    def may_order(self, now: float) -> bool:
        """Return whether an order may be sent now."""
        return self._active and self._lease.holds(now) and now >= self._quiet_until

    def holds(self, now: float) -> bool:
        """Return whether this node believes that it leads."""
        return self._lease.holds(now)

    async def step(self) -> None:
        """Do what is due with the store: acquire or renew."""
        if self._retired:
            return
        if self._mirror.at:
            self._known_base_era()
        now = self._clock()
        had = self.fence
        instruction = self._lease.due(now)
        if had and not self.fence:
            self._note_lost("expired")
        try:
            if isinstance(instruction, RenewLease):
                await self._renew()
            elif isinstance(instruction, AcquireLease):
                await self._contend()
        except StoreError as error:
            self._note_call(type(error).__name__)
        else:
            self._note_call("")

    async def activate(self) -> None:
        """Write that orders are about to be given, so that a successor waits."""
        if self._active:
            return
        try:
            self._activity_revision = await self._write_activity(self._node.encode())
        except (StoreAnswerLostError, ConditionFailedError):
            if not await self._has_written_activity():
                raise
        self._active = True

    def note_order(self, now: float) -> None:
        """Note that an order is being sent."""
        self._last_order_at = now

    async def rest(self, now: float) -> None:
        """Write that no order was given for so long that a successor need not wait."""
        if not self._active or now - self._last_order_at < self._parameters.quiet:
            return
        self._activity_revision = await self._write_activity(IDLE)
        self._active = False

    async def resign(self) -> None:
        """Give the lease back, so that another node takes over at once."""
        lease, self._store_lease = self._store_lease, 0
        self._renewed_at = -math.inf
        if self.fence:
            self._note_lost("resigned")
        self._lease.step_down()
        self._active = False
        # Also after this node stepped down: its key would keep all others from leading until
        # the lease runs out.
        if not lease:
            return
        try:
            await self._store.end_lease(lease)
        except StoreError as error:
            self._log.state_changed("leader_key_left", lease=lease, reason=type(error).__name__)

    async def retire(self) -> None:
        """Give the lease back and contend no more: this node is about to end."""
        self._retired = True
        await self.resign()

    def step_down(self, reason: str) -> None:
        """Stop giving orders: something shows that another node leads."""
        if self.fence:
            self._note_lost(reason)
        self._lease.step_down()
        self._active = False

    def store_restored(self) -> None:
        """Note that the store came back from an older copy: no lease of before holds there.

        Whoever led until then may not know yet, and the copy may call it idle: others begin only
        once its last orders are long past, and leave the key to it, which need not wait, for a
        while. Otherwise loads of weights would stand for seconds after each return.
        """
        self._store_lease = 0
        self._free_since = None
        former = self._mirror.get(LEADER_KEY)
        self._former_key = former.revision if former is not None else 0
        now = self._clock()
        # Within its time to live nobody else can have had the key.
        self._resumes = now - self._renewed_at < self._parameters.lease.time_to_live
        if self._resumes:
            self.step_down("the store came back from an older copy")
            return
        self._quiet_until = max(self._quiet_until, now + self._parameters.quiet)
        self._stands_back_until = now + self._parameters.stand_back

    async def _write_activity(self, value: bytes) -> int:
        return await self._store.transact(
            (
                Expectation(LEADER_KEY, self.fence),
                Expectation(ACTIVITY_KEY, self._activity_revision),
            ),
            (PutItem(ACTIVITY_KEY, value),),
        )

    async def _has_written_activity(self) -> bool:
        """Return whether a write of this term was done though its answer was lost.

        Nobody else writes this node's name, and an earlier term's write is not newer than
        what this term began with.
        """
        reading = await self._store.read(ACTIVITY_KEY)
        item = reading.item
        if item is None or item.value != self._node.encode():
            return False
        if item.revision <= self._activity_revision:
            return False
        self._activity_revision = item.revision
        return True

    async def _renew(self) -> None:
        try:
            asked_at = await self._keep_lease()
        except LeaseGoneError:
            self._store_lease = 0
            self.step_down("lease over")
            return
        self._lease.renewed(asked_at)
        self._renewed_at = asked_at

    async def _keep_lease(self) -> float:
        """Renew the store's lease and return when it was asked.

        A renewal may be asked for again at once: done twice it does no harm, and a lost
        answer must not cost as much time as is left of the lease.
        """
        for timeout_s in RENEWAL_TIMEOUTS_S[:-1]:
            asked_at = self._clock()
            with suppress(StoreUnavailableError, StoreAnswerLostError, TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self._store.keep_lease(self._store_lease)
                    return asked_at
        asked_at = self._clock()
        await self._store.keep_lease(self._store_lease)
        return asked_at

    async def _contend(self) -> None:
        leader = self._mirror.get(LEADER_KEY)
        if leader is not None:
            if leader.revision == self._former_key:
                # The key of before the store's return: the copy without it is not read yet.
                return
            self._free_since = None
            self._resumes = False
            await self._recognise(leader)
            return
        now = self._clock()
        if now < self._stands_back_until:
            return
        if self._free_since is None:
            self._free_since = now
        # Calls are paid for, and few nodes are enough; the others stand in for them.
        if (
            self._resumes
            or self._is_candidate()
            or now - self._free_since >= self._parameters.stand_back
        ):
            await self._acquire()

    async def _recognise(self, leader: StoredItem) -> None:
        """Take the lease up if the key is this node's own, for all that it knows.

        The answer to writing it, or to a renewal, may have been lost. If the lease can be
        renewed, the key was held all the time: it goes with the lease, and nobody else
        can have led since.
        """
        if not self._store_lease or leader.lease != self._store_lease:
            return
        try:
            asked_at = await self._keep_lease()
        except LeaseGoneError:
            self._store_lease = 0
            return
        self._take_up(leader.revision, self._mirror.get(ACTIVITY_KEY), asked_at)

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
        # Alone in its transaction: a store may count each item as a change, and the revision
        # that it answers is the key's for sure only where it is the one item written.
        fence = await self._store.transact(
            expected, (PutItem(LEADER_KEY, self._node.encode(), lease),)
        )
        self._take_up(fence, activity, asked_at)

    async def _record_base_era(self) -> None:
        """Write the base era that all fences count from, unless the store has it."""
        base_era = self._known_base_era()
        if base_era and self._mirror.get(BASE_ERA_KEY) is None:
            await self._store.transact(
                (Expectation(BASE_ERA_KEY, 0),),
                (PutItem(BASE_ERA_KEY, str(base_era).encode()),),
            )

    def _take_up(self, fence: int, activity: StoredItem | None, asked_at: float) -> None:
        self._lease.acquired(str(self._store_lease), fence, asked_at)
        self._renewed_at = asked_at
        self._active = False
        self._activity_revision = activity.revision if activity else 0
        holder = activity.value if activity else IDLE
        now = self._clock()
        wait = holder not in (IDLE, self._node.encode())
        # A term that is taken up again still waits for what it had to wait for.
        quiet_until = now + self._parameters.quiet if wait else now
        self._quiet_until = max(self._quiet_until, quiet_until)
        self._log.state_changed("leading", fence=fence, predecessor=holder.decode(), waits=wait)

    def _note_call(self, failure: str) -> None:
        """Log how the calls about the lease end, where that has changed; the next one is due."""
        if failure != self._call_failure:
            self._call_failure = failure
            self._log.state_changed("lease_calls", failure=failure)

    def _note_lost(self, reason: str) -> None:
        self._log.state_changed("not_leading", fence=self.fence, reason=reason)
