"""The control loop that brings engines to the weight versions that the operator set."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from liftrill import clock
from liftrill.coordination.store_position import era_of, revision_of
from liftrill.errors import StoreError
from liftrill.gateway import ticks
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.engines.engine_table import EngineNotice, EngineTable, EngineView
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.leadership import Leadership
from liftrill.gateway.order_client import OrderAnswer, OrderClient, WeightOrder
from liftrill.gateway.weight_rollout import (
    AnnounceDone,
    AnnounceLoad,
    GiveOrder,
    PollReport,
    RolloutInstruction,
    WeightRollout,
)

TICK_SECONDS = 0.1
REFUSED_ORDER_RETRY_SECONDS = 0.4

_notice_numbers = itertools.count(1)

# Layout of a notice's sequence: the store's era in the high bits, the revision of the term's
# fencing token below it, and the notice's own number in the low bits.
NOTICE_NUMBER_BITS = 20
ERA_SHIFT_BITS = 56

NoticeSender = Callable[[list[EngineNotice]], Awaitable[None]]


def notice_sequence(fence: int, number: int) -> int:
    """Return the 64-bit sequence of a notice, which is higher than that of any earlier one.

    Fencing tokens rise from term to term, and numbers within a term.
    """
    era, revision = era_of(fence), revision_of(fence)
    return (era << ERA_SHIFT_BITS) + (revision << NOTICE_NUMBER_BITS) + number


class WeightController:
    """Contends for leadership and, as the leader, sends the orders that the rollout plans.

    Orders are sent over the node's own links only: sent by a peer they would count as the peer's.

    Attributes:
        leaves_to_others: whether this node reaches no engine and other nodes do, so that one of
            them should lead.
    """

    def __init__(
        self,
        leadership: Leadership,
        rollout: WeightRollout,
        engines: EngineTable,
        client: OrderClient,
        send_notices: NoticeSender,
        log: DecisionLog,
        metrics: GatewayMetrics,
        node: str,
    ) -> None:
        self.leaves_to_others: Callable[[], bool] = lambda: False
        self._leadership = leadership
        self._rollout = rollout
        self._engines = engines
        self._client = client
        self._send_notices = send_notices
        self._log = log
        self._metrics = metrics
        self._node = node
        self._fence = 0
        self._sequences: dict[int, int] = {}
        self._tasks: set[asyncio.Future[object]] = set()

    async def run(self) -> None:
        """Contend for leadership and lead for as long as the node runs."""
        while True:
            if self._leadership.fence and self.leaves_to_others():
                await self._leadership.resign()
            await self._leadership.acquire_or_renew()
            await self._run_round(clock.now_s())
            await ticks.pause(TICK_SECONDS)

    async def stop(self) -> None:
        """Cancel orders under way and release leadership, so that another node takes over."""
        for task in list(self._tasks):
            task.cancel()
        await self._leadership.retire()

    async def _run_round(self, now: float) -> None:
        """Make one round of decisions; each order checks the lease again when it is sent."""
        if not self._leadership.holds(now):
            self._end_term()
            return
        if self._leadership.order_fence != self._fence:
            self._begin_term()
        outdated = self._rollout.has_outdated_engine(self._engines.in_use())
        if not outdated and self._rollout.is_idle:
            await self._mark_idle(now)
            return
        if not await self._mark_active() or not self._leadership.may_order(clock.now_s()):
            return
        for instruction in self._rollout.due(self._engines.in_use(), clock.now_s()):
            view = self._engines.get(instruction.engine_id)
            if view is not None:
                self._execute(view, instruction)

    def _execute(self, view: EngineView, instruction: RolloutInstruction) -> None:
        if isinstance(instruction, AnnounceLoad):
            self._announce(view, instruction.model, instruction.version, loading=True)
            self._spawn(self._read_status(view))
        elif isinstance(instruction, AnnounceDone):
            self._finish(view, instruction.model, instruction.version)
        elif isinstance(instruction, GiveOrder):
            self._spawn(self._send_order(view, instruction))
        elif isinstance(instruction, PollReport):
            self._spawn(self._poll_report(view))

    def _begin_term(self) -> None:
        self._fence = self._leadership.order_fence
        self._sequences.clear()
        self._rollout.begin_term()

    def _end_term(self) -> None:
        if self._fence:
            self._fence = 0
            self._rollout.begin_term()

    async def _mark_active(self) -> bool:
        try:
            await self._leadership.mark_active()
        except StoreError as error:
            # The write may have succeeded although its response was lost, so the term ends.
            self._leadership.step_down(f"cannot mark the term active: {type(error).__name__}")
            await self._leadership.resign()
            return False
        return True

    async def _mark_idle(self, now: float) -> None:
        try:
            await self._leadership.mark_idle(now)
        except StoreError as error:
            self._leadership.step_down(f"cannot mark the term idle: {type(error).__name__}")
            await self._leadership.resign()

    async def _send_order(self, view: EngineView, instruction: GiveOrder) -> None:
        if not await self._read_status(view):
            self._rollout.order_refused(view.engine_id, clock.now_s(), REFUSED_ORDER_RETRY_SECONDS)
            return
        model, version = instruction.model, instruction.version
        if view.weight_version(model) >= version:
            return
        order = WeightOrder(model, version, self._node, self._fence, self._sequences[view.number])
        now = clock.now_s()
        if not self._leadership.may_order(now):
            return
        self._leadership.record_order(now)
        answer = await self._client.order(view, order)
        self._record_answer(view, order, answer)

    def _record_answer(self, view: EngineView, order: WeightOrder, answer: OrderAnswer) -> None:
        now = clock.now_s()
        self._metrics.orders.labels(answer.value).inc()
        self._log.state_changed(
            "order",
            engine=view.engine_id,
            model=order.model,
            version=order.version,
            fence=order.fence,
            sequence=order.expected_sequence,
            answer=answer.value,
        )
        if not self._is_current(view):
            return
        if answer is OrderAnswer.ACCEPTED:
            self._sequences[view.number] = order.expected_sequence + 1
            self._rollout.order_accepted(view.engine_id, now)
            return
        if answer is OrderAnswer.ALREADY_DONE:
            self._finish(view, order.model, order.version)
            return
        self._sequences.pop(view.number, None)
        if answer is OrderAnswer.UNANSWERED:
            self._rollout.order_unanswered(view.engine_id, now)
            return
        self._rollout.order_refused(view.engine_id, now, REFUSED_ORDER_RETRY_SECONDS)
        if answer is OrderAnswer.STALE_FENCE:
            self._leadership.step_down("an engine has seen a newer fencing token")

    async def _poll_report(self, view: EngineView) -> None:
        load = self._rollout.loads.get(view.engine_id)
        if load is None:
            return
        status = await self._client.report(view)
        if status is None or not self._is_current(view):
            return
        for model, version in status.weights.items():
            view.learn_weights(model, version)
        self._sequences[view.number] = status.order_sequence
        self._rollout.record_report(view.engine_id, status.busy, clock.now_s())

    def _is_current(self, view: EngineView) -> bool:
        """Return whether an engine has not restarted since it was queried."""
        return self._engines.get(view.engine_id) is view

    def _finish(self, view: EngineView, model: str, version: int) -> None:
        """Announce that an engine has loaded a version; a newer one may be under way already."""
        view.learn_weights(model, version)
        self._announce(view, model, version, loading=False)
        self._log.state_changed(
            "weights_reached", engine=view.engine_id, model=model, version=version
        )

    async def _read_status(self, view: EngineView) -> bool:
        """Query how many orders an engine has accepted, unless this term knows."""
        if view.number in self._sequences:
            return True
        status = await self._client.report(view)
        if status is None:
            return False
        self._sequences[view.number] = status.order_sequence
        for model, version in status.weights.items():
            view.learn_weights(model, version)
        return True

    def _announce(self, view: EngineView, model: str, version: int, loading: bool) -> None:
        sequence = notice_sequence(self._fence, next(_notice_numbers))
        notice = EngineNotice(
            view.engine_id, model, version, loading, sequence, view.advertised_number
        )
        self._spawn(self._send_notices([notice]))

    def _spawn(self, work: Awaitable[object]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
