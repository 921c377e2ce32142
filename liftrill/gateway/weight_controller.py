"""The loop of the node that brings engines to the weights that the operator named."""

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
    AskReport,
    GiveOrder,
    RolloutInstruction,
    WeightRollout,
)

TICK_SECONDS = 0.1
REFUSED_ORDER_PAUSE_SECONDS = 0.4

_counter = itertools.count(1)

# Of a notice's sequence: its term's fence takes the bits above its own number's, up to those of
# the store's returns.
NUMBER_BITS = 20
RETURN_SHIFT_BITS = 56

NoticeSender = Callable[[list[EngineNotice]], Awaitable[None]]


def notice_sequence(fence: int, number: int) -> int:
    """Return the sequence of a notice, which is higher for each later one, in 64 bits.

    Fences rise with terms, and numbers within one.
    """
    returns, revision = era_of(fence), revision_of(fence)
    return (returns << RETURN_SHIFT_BITS) + (revision << NUMBER_BITS) + number


class WeightController:
    """Leads, if it gets the lease, and gives the orders that the rollout plans."""

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
        """Lead or wait to lead for as long as the node runs."""
        while True:
            await self._leadership.step()
            await self._lead(clock.now_s())
            await ticks.pause(TICK_SECONDS)

    async def stop(self) -> None:
        """Give no more orders, wait for those on their way, and hand over."""
        for task in list(self._tasks):
            task.cancel()
        await self._leadership.retire()

    async def _lead(self, now: float) -> None:
        """One round of decisions; each is checked against the lease again when it is sent."""
        if not self._leadership.holds(now):
            self._end_term()
            return
        if self._leadership.order_fence != self._fence:
            self._begin_term()
        wanted = self._rollout.is_wanted(self._engines.in_use())
        if not wanted and self._rollout.is_idle:
            await self._rest(now)
            return
        if not await self._activate() or not self._leadership.may_order(clock.now_s()):
            return
        for instruction in self._rollout.due(self._engines.in_use(), clock.now_s()):
            view = self._engines.get(instruction.engine_id)
            if view is not None:
                self._carry_out(view, instruction)

    def _carry_out(self, view: EngineView, instruction: RolloutInstruction) -> None:
        if isinstance(instruction, AnnounceLoad):
            self._tell(view, instruction.model, instruction.version, loading=True)
            self._spawn(self._read_status(view))
        elif isinstance(instruction, AnnounceDone):
            self._finish(view, instruction.model, instruction.version)
        elif isinstance(instruction, GiveOrder):
            self._spawn(self._give(view, instruction))
        elif isinstance(instruction, AskReport):
            self._spawn(self._check(view))

    def _begin_term(self) -> None:
        self._fence = self._leadership.order_fence
        self._sequences.clear()
        self._rollout.begin_term()

    def _end_term(self) -> None:
        if self._fence:
            self._fence = 0
            self._rollout.begin_term()

    async def _activate(self) -> bool:
        try:
            await self._leadership.activate()
        except StoreError as error:
            # The answer may be lost and the write done; a new term settles which.
            self._leadership.step_down(f"cannot write: {type(error).__name__}")
            await self._leadership.resign()
            return False
        return True

    async def _rest(self, now: float) -> None:
        try:
            await self._leadership.rest(now)
        except StoreError as error:
            self._leadership.step_down(f"cannot write: {type(error).__name__}")
            await self._leadership.resign()

    async def _give(self, view: EngineView, instruction: GiveOrder) -> None:
        if not await self._read_status(view):
            self._rollout.order_refused(view.engine_id, clock.now_s(), REFUSED_ORDER_PAUSE_SECONDS)
            return
        model, version = instruction.model, instruction.version
        if view.weight_version(model) >= version:
            return
        order = WeightOrder(model, version, self._node, self._fence, self._sequences[view.number])
        now = clock.now_s()
        if not self._leadership.may_order(now):
            return
        self._leadership.note_order(now)
        answer = await self._client.order(view, order)
        self._note_answer(view, order, answer)

    def _note_answer(self, view: EngineView, order: WeightOrder, answer: OrderAnswer) -> None:
        now = clock.now_s()
        self._metrics.orders.labels(answer.value).inc()
        self._log.belief(
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
        self._rollout.order_refused(view.engine_id, now, REFUSED_ORDER_PAUSE_SECONDS)
        if answer is OrderAnswer.STALE_FENCE:
            self._leadership.step_down("an engine has seen a newer fence")

    async def _check(self, view: EngineView) -> None:
        load = self._rollout.loads.get(view.engine_id)
        if load is None:
            return
        status = await self._client.report(view)
        if status is None or not self._is_current(view):
            return
        for model, version in status.weights.items():
            view.learn_weights(model, version)
        self._sequences[view.number] = status.order_sequence
        self._rollout.report_heard(view.engine_id, status.busy, clock.now_s())

    def _is_current(self, view: EngineView) -> bool:
        """Return whether an engine has not started again since it was asked."""
        return self._engines.get(view.engine_id) is view

    def _finish(self, view: EngineView, model: str, version: int) -> None:
        """Tell that an engine has loaded; a newer version may be on its way already."""
        view.learn_weights(model, version)
        self._tell(view, model, version, loading=False)
        self._log.belief("weights_reached", engine=view.engine_id, model=model, version=version)

    async def _read_status(self, view: EngineView) -> bool:
        """Learn how many orders an engine has taken, if this term does not know."""
        if view.number in self._sequences:
            return True
        status = await self._client.report(view)
        if status is None:
            return False
        self._sequences[view.number] = status.order_sequence
        for model, version in status.weights.items():
            view.learn_weights(model, version)
        return True

    def _tell(self, view: EngineView, model: str, version: int, loading: bool) -> None:
        sequence = notice_sequence(self._fence, next(_counter))
        notice = EngineNotice(
            view.engine_id, model, version, loading, sequence, view.advertised_number
        )
        self._spawn(self._send_notices([notice]))

    def _spawn(self, work: Awaitable[object]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
