"""Checks whether an engine's process has ended after a connection to it was lost or closed."""

import asyncio
import contextlib
import contextvars
import math
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum, auto

from liftrill import clock, constants
from liftrill.gateway.delivery_events import CloseTimes, EngineAddress, EngineEvidence
from liftrill.gateway.engines.engine_table import EngineView
from liftrill.gateway.run_continuation import MAX_CLOSE_DELAY_S, CloseEvidence
from liftrill.gateway.transport import EngineReply, EngineTransport, ProbeResult

# Bound of the delay before the next step after an interrupted attempt. A machine that is up answers
# for an open or closed port within a round trip; no answer proves nothing.
MAX_WAIT_S = 0.1
# The same for a stream that goes on depending on the result: two probes and the answers of peers.
MAX_EVIDENCE_WAIT_S = constants.CONNECT_TIMEOUT_SECONDS + 0.2
# How long what accepted the probes after a lost connection is asked which incarnation it is.
MAX_IDENTIFY_S = 1.0
# A process that ends may reset its connections some milliseconds before its port is closed.
SECOND_PROBE_AFTER_S = 0.05
EVIDENCE_OF_REPLY = {
    EngineReply.SAME: EngineEvidence.RUNNING,
    EngineReply.POSSIBLE: EngineEvidence.RUNNING,
    EngineReply.OTHER: EngineEvidence.ENDED,
}
EVIDENCE_OF_PROBE = {
    ProbeResult.ACCEPTED: EngineEvidence.RUNNING,
    ProbeResult.UNANSWERED: EngineEvidence.UNREACHED,
    ProbeResult.LATE: EngineEvidence.UNKNOWN,
}


# How often an engine is probed whose response ended with its connection.
MAX_CLOSE_CHECKS = 3
# How long a reply to the question which incarnation an engine is is waited for before it is probed.
PROMPT_REPLY_S = 0.05
# The question is asked again after a connection that brought no reply.
ASK_AGAIN_S = 0.05
# How long a reply is waited for while the engine's port accepts connections, if the caller waits.
MAX_REPLY_WAIT_S = 5.0
# Connections that the end of a process closes are closed within this time of each other.
SAME_END_S = 0.01
# By how much later than its peer a node may read the bytes that arrived at the same time.
READ_SKEW_S = 0.002
# For how long after a close that did not follow the last bytes an engine's closes are doubted: a
# server that shuts down closes its connections before its process ends.
SHUTDOWN_S = 0.25
# How long an engine is observed that goes on closing connections so.
MAX_SHUTDOWN_S = 2.0
# For how long closes are kept to compare them.
CLOSES_KEPT_S = MAX_SHUTDOWN_S
# For how long the ends of responses are kept: longer than a check takes.
RESPONSE_ENDS_KEPT_S = 3.0


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """The end of a response with its connection.

    Attributes:
        delay_s: the time between the last bytes and the end.
    """

    at: float
    delay_s: float

    def may_be_same(self, other: "ResponseEnd", tolerance_s: float) -> bool:
        """Return whether the end of a process may have ended this response and one at a peer.

        It did not if one of them had bytes after the other had ended.
        """
        later = max(self, other, key=lambda end: end.at)
        longest_s = min(SAME_END_S, later.delay_s + READ_SKEW_S)
        return abs(self.at - other.at) <= longest_s + tolerance_s


@dataclass(frozen=True, slots=True)
class _OwnEnd:
    """The end of a response at this node.

    Attributes:
        end: the end by when this node came to it.
        number: the number of its engine.
        closed: the end by when its connection was seen to close in order, or None if it was lost,
            or if that time is not known.
    """

    end: ResponseEnd
    number: int
    closed: ResponseEnd | None = None

    def may_be_same(self, other: "_OwnEnd") -> bool:
        """Return whether the end of a process may have ended both responses.

        Only closes in order show how long after its last bytes a response ended.
        """
        if abs(self.end.at - other.end.at) > SAME_END_S:
            return False
        if self.closed is None or other.closed is None:
            return True
        return self.closed.may_be_same(other.closed, 0.0)


class EndsElsewhere(Enum):
    """Whether other responses of an engine ended at other nodes at the same time as one here.

    Attributes:
        UNKNOWN: a node that may know did not answer.
    """

    NONE = auto()
    SOME = auto()
    UNKNOWN = auto()


def _ignore_end(view: EngineView, now: float, ended_at: float) -> None:
    """Leave it to the engine's next record to show the end."""


async def _not_reached(engine: EngineAddress) -> bool:
    """Know of no peer that reaches an engine."""
    return False


async def _none_elsewhere(engine: EngineAddress, end: ResponseEnd) -> EndsElsewhere:
    """Know of no peer that had responses of an engine."""
    return EndsElsewhere.NONE


class IncarnationQuery:
    """Asks which incarnation of an engine answers at its address, until a reply tells.

    Attributes:
        reply: the newest reply.
    """

    def __init__(self, transport: EngineTransport, view: EngineView) -> None:
        self.reply = EngineReply.NONE
        self._was_refused = False
        self._transport = transport
        self._view = view
        self._asking = self._begin()

    @property
    def evidence(self) -> EngineEvidence:
        """What the reply shows of the engine."""
        if self.reply is EngineReply.POSSIBLE and self._was_refused:
            # The process that listens now may have started after the engine ended.
            return EngineEvidence.UNKNOWN
        return EVIDENCE_OF_REPLY.get(self.reply, EngineEvidence.UNKNOWN)

    async def wait(self, wait_s: float) -> EngineEvidence:
        """Return what is known after a reply or a refusal, or after a time without one."""
        await asyncio.wait({self._asking}, timeout=max(0.0, wait_s))
        return self.evidence

    async def ask_again(self, wait_s: float) -> EngineEvidence:
        """Return what is known after a further reply."""
        self._asking.cancel()
        self.reply = EngineReply.NONE
        self._asking = self._begin()
        return await self.wait(wait_s)

    def resume(self) -> None:
        """Ask again after a refusal."""
        if self.reply is EngineReply.REFUSED:
            self._asking = self._begin()

    def close(self) -> None:
        """Ask no more."""
        self._asking.cancel()

    def _begin(self) -> "asyncio.Task[None]":
        # Whether a request may still be sent does not matter for the question.
        return asyncio.get_running_loop().create_task(self._ask(), context=contextvars.Context())

    async def _ask(self) -> None:
        while True:
            self.reply = await self._transport.identify(self._view)
            self._was_refused |= self.reply is EngineReply.REFUSED
            if self.reply is not EngineReply.NONE:
                return
            await asyncio.sleep(ASK_AGAIN_S)


class EngineEndCheck:
    """Runs at most one check of each kind at a time for each engine after lost connections.

    A refused connection may also be due to a partition between this node and the engine, so peers
    are asked whether they reach it.

    Attributes:
        is_reached_by_peers: returns whether a peer reaches an engine.
        ended_elsewhere: returns whether responses of an engine ended at peers with one here.
        on_probe: called with the result of each probe.
        on_replaced: called when another incarnation answered at the address of an engine, with the
            time and that of the lost connection, by which the engine had ended.
    """

    def __init__(
        self, transport: EngineTransport, on_ended: Callable[[EngineView, float], None]
    ) -> None:
        self.is_reached_by_peers: Callable[[EngineAddress], Awaitable[bool]] = _not_reached
        self.ended_elsewhere: Callable[[EngineAddress, ResponseEnd], Awaitable[EndsElsewhere]] = (
            _none_elsewhere
        )
        self.on_probe: Callable[[EngineAddress, ProbeResult, float], None] | None = None
        self.on_replaced: Callable[[EngineView, float, float], None] = _ignore_end
        self._transport = transport
        self._on_ended = on_ended
        self._running: dict[tuple[int, bool, bool], asyncio.Task[EngineEvidence]] = {}
        # Checks after a close that have sent no probe yet.
        self._prepared: dict[int, asyncio.Task[EngineEvidence]] = {}
        # By time.
        self._response_ends: deque[_OwnEnd] = deque()
        # The ends of responses that only a close in order marked lately, with the shortest delays
        # that they may have had, and the numbers of their engines.
        self._closes: deque[tuple[ResponseEnd, int]] = deque()

    async def check(
        self, view: EngineView, for_stream: bool = False, is_direct: bool = True
    ) -> EngineEvidence:
        """Check whether an engine has ended; return what is known of it before the next step.

        If a stream goes on depending on the result, it is waited for longer, and an engine that
        accepts a connection is probed a second time. Another process may have accepted it, so that
        only an answer shows that the engine is running. The loss of a connection that is not
        direct may be due to the peer that passed it on.
        """
        key = (view.number, for_stream, is_direct)
        task = self._running.get(key)
        if task is None:
            task = asyncio.ensure_future(self._check_lost(view, for_stream, is_direct))
            self._running[key] = task
            task.add_done_callback(lambda _: self._running.pop(key, None))
        max_wait_s = MAX_EVIDENCE_WAIT_S + MAX_IDENTIFY_S if for_stream else MAX_WAIT_S
        return await _result_within(task, max_wait_s)

    async def check_closed(
        self, view: EngineView, times: CloseTimes, until: float = math.inf
    ) -> CloseEvidence:
        """Find out until a time what became of an engine after it closed a response in order."""
        closed_at = clock.now_s()
        # The close of a connection that was not read may have come any time after the last bytes.
        used_before = min(times.closed_at, closed_at) - times.delay_s
        end = ResponseEnd(closed_at, times.delay_s)
        closed = ResponseEnd(times.closed_at, times.delay_s)
        own_end = _OwnEnd(end, view.number, closed if math.isfinite(times.closed_at) else None)
        self._record_end(own_end)
        if not times.is_after_end:
            # An engine may keep a connection open for any time after the end of a response.
            self._note_close(view, ResponseEnd(closed_at, times.shortest_delay_s))
        query = IncarnationQuery(self._transport, view)
        elsewhere: asyncio.Task[EndsElsewhere] | None = None
        try:
            evidence = await self._first_evidence(view, query, closed_at, used_before)
            is_abrupt = self._closed_abruptly(view, closed_at)
            if evidence is not EngineEvidence.RUNNING and view.announced_end:
                elsewhere = asyncio.ensure_future(self._ask_peers(view, end))
            if evidence is EngineEvidence.UNKNOWN and query.reply is not EngineReply.POSSIBLE:
                evidence = await self._probe_closed(view, query, until)
            is_doubted = evidence is EngineEvidence.RUNNING and self._is_doubted(view, closed_at)
            if is_doubted:
                evidence = await self._observe_shutdown(view, query, closed_at, used_before, until)
            if evidence is EngineEvidence.UNKNOWN and is_abrupt:
                # Nothing that was there before has been heard of since.
                evidence = EngineEvidence.ENDED
            is_leaving, others_ended = view.announced_end, self._others_ended(own_end)
            if evidence is EngineEvidence.RUNNING:
                # The engine ended this response itself, so that it is no sign of its own end.
                self._forget_end(own_end)
                others_ended = False
            ends = EndsElsewhere.NONE
            # Only the end of a leaving engine may follow the end of its last response.
            if evidence is EngineEvidence.ENDED and is_leaving and not others_ended:
                ends = await (elsewhere or self._ask_peers(view, end))
        finally:
            query.close()
            if elsewhere is not None:
                elsewhere.cancel()
        return CloseEvidence(
            evidence,
            is_leaving,
            others_ended or ends is EndsElsewhere.SOME,
            times.delay_s,
            peers_answered=ends is not EndsElsewhere.UNKNOWN,
            reply=query.reply,
            is_abrupt=is_abrupt,
            is_doubted=is_doubted,
            sound_delay_s=view.sound_close_s,
            closes_after_ends=view.closes_after_ends,
        )

    async def _first_evidence(
        self, view: EngineView, query: IncarnationQuery, closed_at: float, used_before: float
    ) -> EngineEvidence:
        """Return what the first reply after a close shows, or connections that were open before."""
        evidence = await query.wait(PROMPT_REPLY_S)
        if query.reply is EngineReply.POSSIBLE and self._closed_abruptly(view, closed_at):
            # The next incarnation may reply for one that ended with its responses.
            evidence = EngineEvidence.UNKNOWN
        if evidence is EngineEvidence.UNKNOWN:
            evidence = await self._check_connections(view, closed_at, used_before)
        return evidence

    async def _ask_peers(self, view: EngineView, end: ResponseEnd) -> EndsElsewhere:
        """Ask peers about other ends, once the end of a process has closed all its connections."""
        await asyncio.sleep(max(0.0, end.at + SAME_END_S - clock.now_s()))
        return await self.ended_elsewhere(view.identity, end)

    def response_ends(self, number: int) -> list[ResponseEnd]:
        """Return the recent ends of responses of an engine with their connections."""
        return [own.end for own in self._response_ends if own.number == number]

    async def _check_connections(
        self, view: EngineView, closed_at: float, used_before: float
    ) -> EngineEvidence:
        """Return what connections show that were open before: a process that ends closes all."""
        await asyncio.sleep(max(0.0, closed_at + SAME_END_S - clock.now_s()))
        has_open = self._transport.has_open_connection(view.record.address, used_before)
        return EngineEvidence.RUNNING if has_open else EngineEvidence.UNKNOWN

    async def _probe_closed(
        self, view: EngineView, query: IncarnationQuery, until: float
    ) -> EngineEvidence:
        """Return what probes show of an engine that has not replied yet.

        A port that accepts connections shows that something listens there, which may be another
        incarnation or a supervisor of the engine.
        """
        evidence = EngineEvidence.UNKNOWN
        for _ in range(MAX_CLOSE_CHECKS):
            task = self._prepared.get(view.number)
            if task is None:
                task = asyncio.ensure_future(self._check_prepared(view))
                self._prepared[view.number] = task
            evidence = await _result_within(task, MAX_EVIDENCE_WAIT_S)
            if evidence is EngineEvidence.ENDED:
                return evidence
            if evidence is EngineEvidence.RUNNING:
                query.resume()
                return await query.wait(min(MAX_REPLY_WAIT_S, until - clock.now_s()))
        return evidence

    async def _check_prepared(self, view: EngineView) -> EngineEvidence:
        # A probe that is sent already may precede the end that closed the next connection.
        del self._prepared[view.number]
        return await self._check(view, for_stream=True)

    def record_response_end(self, view: EngineView, now: float) -> None:
        """Record that the connection of a response of an engine was lost.

        The delay after its last bytes is not known.
        """
        self._record_end(_OwnEnd(ResponseEnd(now, SAME_END_S), view.number))

    def _record_end(self, own_end: _OwnEnd) -> None:
        self._response_ends.append(own_end)
        while own_end.end.at - self._response_ends[0].end.at > RESPONSE_ENDS_KEPT_S:
            self._response_ends.popleft()

    def _forget_end(self, own_end: _OwnEnd) -> None:
        with contextlib.suppress(ValueError):
            self._response_ends.remove(own_end)

    def _note_close(self, view: EngineView, end: ResponseEnd) -> None:
        now = clock.now_s()
        while self._closes and now - self._closes[0][0].at > CLOSES_KEPT_S:
            self._closes.popleft()
        self._closes.append((end, view.number))

    def _closed_abruptly(self, view: EngineView, closed_at: float) -> bool:
        """Return whether an engine closed several responses at once, regardless of their bytes.

        Responses that end in step are closed at the same time as well, each right after its bytes.
        """
        delays_s = self._delays_of_same_closes(view, closed_at)
        return len(delays_s) > 1 and max(delays_s) > MAX_CLOSE_DELAY_S

    def _delays_of_same_closes(self, view: EngineView, closed_at: float) -> list[float]:
        ends = [end for end, number in self._closes if number == view.number]
        return [end.delay_s for end in ends if abs(end.at - closed_at) <= SAME_END_S]

    def _late_closes(self, view: EngineView) -> list[float]:
        """Return when an engine closed responses later after their bytes than sound ones."""
        longest_s = _longest_sound_delay_s(view)
        closes = [end for end, number in self._closes if number == view.number]
        return [end.at for end in closes if end.delay_s > longest_s]

    def _is_doubted(self, view: EngineView, closed_at: float) -> bool:
        """Return whether a close may belong to the shutdown of an engine that still replies."""
        if view.leaving:
            # It closes its last responses and ends.
            return False
        return any(
            closed_at - SHUTDOWN_S <= at <= closed_at + SAME_END_S for at in self._late_closes(view)
        )

    async def _wait_for_shutdown(self, view: EngineView, closed_at: float, until: float) -> None:
        """Wait until an engine has closed no further response late for some time."""
        latest_at = min(closed_at + MAX_SHUTDOWN_S, until)
        while True:
            last_at = max([closed_at, *self._late_closes(view)])
            left_s = min(last_at + SHUTDOWN_S, latest_at) - clock.now_s()
            if left_s <= 0:
                return
            await asyncio.sleep(left_s)

    async def _observe_shutdown(
        self,
        view: EngineView,
        query: IncarnationQuery,
        closed_at: float,
        used_before: float,
        until: float,
    ) -> EngineEvidence:
        """Return what is known of an engine that replied, once it may have shut down."""
        address, replied_at = view.record.address, clock.now_s()
        had_open = self._transport.has_open_connection(address, replied_at)
        await self._wait_for_shutdown(view, closed_at, until)
        has_open = self._transport.has_open_connection(address, replied_at)
        evidence = await query.ask_again(PROMPT_REPLY_S)
        if query.reply is EngineReply.POSSIBLE:
            # The next incarnation may reply, if the process that replied first closed all.
            return EngineEvidence.UNKNOWN if had_open and not has_open else evidence
        if evidence is EngineEvidence.UNKNOWN:
            evidence = await self._check_connections(view, closed_at, used_before)
        if evidence is EngineEvidence.UNKNOWN:
            evidence = await self._probe_closed(view, query, until)
        return evidence

    def _lost_all(self, view: EngineView, lost_at: float) -> bool:
        """Return whether an engine's connections, two or more, ended as with its process."""
        has_open = self._transport.has_open_connection(view.record.address, lost_at)
        lost = _OwnEnd(ResponseEnd(lost_at, SAME_END_S), view.number)
        return not has_open and self._others_ended(lost)

    def _others_ended(self, own_end: _OwnEnd) -> bool:
        """Return whether the end of its engine may have ended a response together with others."""
        ends = (own for own in self._response_ends if own.number == own_end.number)
        return sum(own_end.may_be_same(other) for other in ends) > 1

    async def _check_lost(
        self, view: EngineView, for_stream: bool, is_direct: bool
    ) -> EngineEvidence:
        """Probe an engine after a lost connection, and ask who it is if it accepts the probes."""
        lost_at = clock.now_s()
        evidence = await self._check(view, for_stream)
        if evidence is not EngineEvidence.RUNNING:
            return evidence
        query = IncarnationQuery(self._transport, view)
        try:
            evidence = await query.wait(MAX_IDENTIFY_S)
        finally:
            query.close()
        if query.reply is EngineReply.REFUSED:
            evidence = await self._check(view, for_stream)
            return EngineEvidence.UNKNOWN if evidence is EngineEvidence.RUNNING else evidence
        if query.reply is EngineReply.NONE and is_direct and self._lost_all(view, lost_at):
            return EngineEvidence.ENDED
        # The end of a leaving engine is no crash.
        if evidence is EngineEvidence.ENDED and not view.leaving:
            self.on_replaced(view, clock.now_s(), lost_at)
        return evidence

    async def _check(self, view: EngineView, for_stream: bool) -> EngineEvidence:
        result = await self._probe(view)
        if for_stream and result is ProbeResult.ACCEPTED:
            await asyncio.sleep(SECOND_PROBE_AFTER_S)
            result = await self._probe(view)
        # No answer may be due to a partition: it does not show whether anything listens.
        if result is not ProbeResult.REFUSED:
            return EVIDENCE_OF_PROBE[result]
        if await self.is_reached_by_peers(view.identity):
            return EngineEvidence.UNREACHED
        # The exit of a leaving engine is no crash.
        if not view.leaving:
            self._on_ended(view, clock.now_s())
        return EngineEvidence.ENDED

    async def _probe(self, view: EngineView) -> ProbeResult:
        timeout_s = constants.CONNECT_TIMEOUT_SECONDS
        result = await self._transport.probe(view.record.address, timeout_s)
        if self.on_probe is not None:
            self.on_probe(view.identity, result, clock.now_s())
        return result


def _longest_sound_delay_s(view: EngineView) -> float:
    """Return how late after its last bytes an engine closes a complete response."""
    return max(MAX_CLOSE_DELAY_S, view.sound_close_s)


async def _result_within(task: asyncio.Task[EngineEvidence], wait_s: float) -> EngineEvidence:
    """Return the result of a check, or `UNKNOWN` if there is none in time."""
    await asyncio.wait({task}, timeout=wait_s)
    return task.result() if task.done() else EngineEvidence.UNKNOWN
