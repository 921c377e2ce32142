"""A client connection of aiohttp that passes on only responses which follow HTTP/1.1.

By itself, aiohttp accepts malformed heads and chunks, takes bytes that arrive on an idle connection
for the next response, and takes a body without a length for complete even if the connection was
reset. It reads responses of any length, and sends requests with idempotent methods again when a
kept-alive connection turns out to be closed, which may run them twice.
"""

import asyncio
import functools
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import ClientPayloadError, ClientSession, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception
from aiohttp.http_parser import RawResponseMessage

from liftrill import clock, constants
from liftrill.limited_response import (
    STATUSES_WITHOUT_BODY,
    ResponseCutOffError,
    limited_response,
)
from liftrill.response_framing import (
    BodyScanner,
    ChunkScanner,
    HeadScanner,
    LengthScanner,
    MalformedResponseError,
    ReplyScanner,
    may_begin_response,
)
from liftrill.response_limits import BodyLimits, FramingLimit

FIRST_FINAL_STATUS = 200
EVENT_STREAM = "text/event-stream"
# For how long the end of an event stream is held back at least.
MIN_END_HOLD_S = 0.06
# An engine that sent the last chunk too early sends its next event within this multiple of the
# longest pause between its events, and this time for delays on the way.
PAUSE_FACTOR = 1.5
PAUSE_JITTER_S = 0.03
# How much of a long pause still counts after each further segment.
PAUSE_DECAY = 0.97
MAX_END_HOLD_S = 2.0
# How long the reply to a question is waited for that follows a stream on its connection.
MAX_REPLY_WAIT_S = 2.0
# The end of a stream is held back for at most this share of the time that its caller has left.
DEADLINE_SHARE = 0.5
# For how long the ends of a peer's responses are doubted after one whose last chunk came early.
END_DOUBT_S = 300.0
# The line feed that ends the last chunk, without which the library does not find the end.
HELD_BYTES = 1
# An idle connection is reused only within this share of the peer's announced keep-alive timeout.
IDLE_TIMEOUT_SHARE = 0.8
MAX_IDLE_S = 30.0
MAX_TIMEOUT_DIGITS = 9
# How many of the last requests of a connection it remembers.
MAX_KEPT_IDS = 32


class RejectedResponseError(MalformedResponseError, ClientPayloadError):
    """The connection of a malformed response was closed."""


@dataclass(frozen=True, slots=True)
class ResponseFault:
    """What was wrong with the bytes that a connection received.

    Attributes:
        address: HOST:PORT of the peer.
        reason: what was malformed, or what followed a response.
        after_end_s: the time since the response ended that they followed, or None before its end.
    """

    address: str
    reason: str
    after_end_s: float | None = None


ReportFault = Callable[[ResponseFault], None]


def no_report(fault: ResponseFault) -> None:
    """Report nothing."""


def _ignore_end() -> None:
    """Do nothing as the end of a response arrives."""


@dataclass(frozen=True, slots=True)
class EndWatch:
    """How a stream's reader wants to know its end.

    Attributes:
        on_end_held: called once the end has arrived and is held back.
        deadline: when the caller's time is over.
        question_path: what is asked for on the connection after the end, or empty.
        is_request_written: returns whether the connection is free for a further request.
    """

    on_end_held: Callable[[], None]
    deadline: float = math.inf
    question_path: str = ""
    is_request_written: Callable[[], bool] = bool


NO_WATCH = EndWatch(_ignore_end)


class StreamPace:
    """Tells from the pauses between a stream's segments for how long its end is held back."""

    def __init__(self) -> None:
        # The first segment comes after the engine has read the prompt, which is no pause.
        self._has_begun = False
        self._longest_s = 0.0

    def add_segment(self, pause_s: float) -> None:
        """Count a segment of the stream, and the pause before it."""
        if self._has_begun:
            self._longest_s = max(pause_s, PAUSE_DECAY * self._longest_s)
        self._has_begun = True

    @property
    def end_hold_s(self) -> float:
        """The time within which an engine that goes on sends its next event."""
        hold_s = PAUSE_FACTOR * self._longest_s + PAUSE_JITTER_S
        return min(max(hold_s, MIN_END_HOLD_S), MAX_END_HOLD_S)


class EndDoubts:
    """The peers whose last chunks may come early, by address."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def add(self, address: str, now: float) -> None:
        """Doubt the ends of a peer's responses from now on."""
        self._until = {known: until for known, until in self._until.items() if until > now}
        self._until[address] = now + END_DOUBT_S

    def has(self, address: str, now: float) -> bool:
        """Return whether the ends of a peer's responses are doubted."""
        return self._until.get(address, 0.0) > now


class GuardedResponseHandler(ResponseHandler):
    """A connection that closes on malformed, unsolicited or endless bytes, and detects resets."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        report: ReportFault = no_report,
        doubts: EndDoubts | None = None,
        *,
        polls: clock.PollClock,
    ) -> None:
        super().__init__(loop=loop)
        self._report = report
        self._polls = polls
        # Whether a response ends with the connection, and the time of the close matters.
        self._is_timed = False
        # The ends of event streams, and of peers' responses that are doubted, are held back.
        self._doubts = doubts
        # Whether this response is one of them.
        self._is_doubted = False
        # The pace of a response whose end is held back.
        self._pace: StreamPace | None = None
        self._response_count = 0
        self._framing = FramingLimit()
        self._heads = HeadScanner()
        # None while no head has arrived, and for a body that ends with its connection.
        self._body: BodyScanner | None = None
        # The body of the response before on the connection.
        self._last_body: BodyScanner | None = None
        self._has_no_body = False
        self._held_end = b""
        self._hold: asyncio.TimerHandle | None = None
        self._watch = NO_WATCH
        # The reply that is due on the connection after a stream, if it was asked for one.
        self._reply: ReplyScanner | None = None
        self._end_arrived_at = math.inf
        self._is_end_confirmed = True
        self._idle_limit_s = constants.ENGINE_IDLE_CONNECTION_SECONDS
        self._last_data_at = clock.now_s()
        # When the first bytes arrived.
        self.first_data_at = math.inf
        self._closed_at = math.inf
        self._unread_s = 0.0
        # The last requests that were sent on the connection.
        self._request_ids: deque[str] = deque(maxlen=MAX_KEPT_IDS)

    def accept_request(self, request_id: str) -> bool:
        """Take a request that is about to be sent; return False if it was sent here before.

        Without an id, all requests are accepted.
        """
        if request_id in self._request_ids:
            return False
        if request_id:
            self._request_ids.append(request_id)
        return True

    @property
    def holds_end(self) -> bool:
        """Whether the end of this response is held back as it arrives."""
        return self._pace is not None

    @property
    def close_delay_s(self) -> float:
        """The time between the last received bytes and the end of the connection."""
        return self._closed_at - self._last_data_at

    @property
    def unread_s(self) -> float:
        """How much of that time the event loop may have taken to look, if the end was due."""
        return self._unread_s

    @property
    def closed_at(self) -> float:
        """When the end of the connection was seen, or infinity before it."""
        return self._closed_at

    @property
    def is_open(self) -> bool:
        """Whether the connection is open; one that is not read does not show its end."""
        transport = self.transport
        return transport is not None and not transport.is_closing() and not self._reading_paused

    @property
    def is_end_confirmed(self) -> bool:
        """Whether the connection was not closed as the reply was due that confirms the end."""
        return self._is_end_confirmed

    def watch_end(self, watch: EndWatch) -> None:
        """Tell a reader once the end of this response has arrived and is held back."""
        self._watch = watch
        if self._held_end:
            watch.on_end_held()
            if self._hold is not None:
                self._pass_end_after(self._hold.when() - asyncio.get_running_loop().time())
            self._ask_for_reply()

    def set_response_params(self, **parameters: Any) -> None:
        """Prepare for the response to a request that is about to be sent."""
        self._response_count = 0
        self._framing = FramingLimit()
        self._heads = HeadScanner()
        self._last_body, self._body = self._body, None
        self._has_no_body = bool(parameters.get("skip_payload"))
        self._pace = None
        self._is_doubted = False
        self._watch = NO_WATCH
        self._is_end_confirmed = True
        super().set_response_params(**parameters)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Count the final responses that were parsed."""
        message, _ = data
        if message.code >= FIRST_FINAL_STATUS:
            self._response_count += 1
            self._idle_limit_s = idle_limit_s(message.headers.get("Keep-Alive", ""))
            self._expect_body(message)
        else:
            self._framing.add_interim_response()
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Process received bytes (asyncio callback); close if no response is due."""
        now = clock.now_s()
        since_last_s, self._last_data_at = now - self._last_data_at, now
        if self.first_data_at > now:
            self.first_data_at = now
        body = self._body
        if data and body is not None and not body.is_complete:
            self._receive_body(data, body, since_last_s)
            return
        # Heads are parsed one by one: an error in what follows must not discard a response.
        while data and not self._response_count:
            length = self._framing.head_length(data)
            if not self._receive_head(data[:length]) or length == len(data):
                return
            data = data[length:]
        if data and self._held_end:
            self._receive_after_end(data)
        elif data and self._is_idle():
            self._receive_excess(data, since_last_s)
        elif data and self._body is not None:
            self._receive_body(data, self._body, since_last_s)
        else:
            # Without data, aiohttp goes on with what it held back while the reader was slow.
            self._parse(data)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on, as the reader has room again; what follows a stream's end has yet to be read."""
        was_paused = self._reading_paused
        super().resume_reading(resume_parser)
        if was_paused and self._held_end and self._pace is not None:
            self._pass_end_after(MAX_REPLY_WAIT_S if self._is_reply_due else self._pace.end_hold_s)

    def is_connected(self) -> bool:
        """Return whether another request may be sent, because the peer is not about to close."""
        idle_s = clock.now_s() - self._last_data_at
        if self._response_count and idle_s > self._idle_limit_s:
            return False
        return super().is_connected()

    def eof_received(self) -> None:
        """Note the time of a close in order (asyncio callback)."""
        self._note_end()
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle the end of the connection (asyncio callback)."""
        self._note_end()
        if self._is_timed:
            self._polls.end()
        # A process that closed without a reply may have ended in the middle of the response.
        self._is_end_confirmed = not self._is_reply_due
        if self._is_reply_due and self._is_doubted:
            self._reject("connection closed in place of a reply after the last chunk")
        self._pass_end()
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            set_exception(
                payload, ClientPayloadError("connection reset before the body ended"), exc
            )
        super().connection_lost(exc)

    def _note_end(self) -> None:
        if math.isfinite(self._closed_at):
            return
        self._closed_at = clock.now_s()
        if self._is_timed:
            known_at = max(self._last_data_at, self._polls.polled_at)
            # A loop that is not busy is marked once in the interval.
            self._unread_s = max(0.0, self._closed_at - known_at - clock.POLL_MARK_S)

    def _receive_head(self, data: bytes) -> bool:
        """Process bytes of a head; return whether the connection is still open."""
        try:
            self._heads.scan(data)
        except MalformedResponseError as error:
            if not may_begin_response(data):
                self._doubt_ends(self._last_body)
            self._reject(str(error))
            return False
        return self._parse(data)

    def _expect_body(self, message: RawResponseMessage) -> None:
        """Prepare to check the body of a final response."""
        length = message.headers.get("Content-Length")
        if message.code in STATUSES_WITHOUT_BODY or self._has_no_body:
            self._body = LengthScanner(0)
        elif message.chunked:
            is_stream = message.headers.get("Content-Type", "").startswith(EVENT_STREAM)
            if self._doubts is not None:
                self._is_doubted = self._doubts.has(self.address, clock.now_s())
                self._pace = StreamPace() if is_stream or self._is_doubted else None
            self._body = ChunkScanner(",".join(message.headers.getall("Trailer", ())).split(","))
        elif length is not None:
            self._body = LengthScanner(int(length))
        elif not self._is_timed:
            self._is_timed = True
            self._polls.begin()

    def _receive_body(self, data: bytes, body: BodyScanner, since_last_s: float) -> None:
        """Process bytes of a body, and of what follows it."""
        pace = self._pace
        if pace is not None:
            pace.add_segment(since_last_s)
        try:
            length = 0 if body.is_complete else body.scan(data)
        except MalformedResponseError as error:
            self._reject(str(error))
            return
        if not body.is_complete:
            self._parse(data)
            return
        rest = data[length:]
        if rest and isinstance(body, ChunkScanner) and not may_begin_response(rest):
            # The last chunk may have come early.
            self._reject_early_end(f"{len(rest)} bytes after the last chunk")
        elif pace is not None and not rest:
            self._hold_end(data, pace.end_hold_s)
        elif self._parse(data[:length]) and rest:
            self._receive_excess(rest, 0.0)

    def _hold_end(self, data: bytes, hold_s: float) -> None:
        """Process the last bytes of a stream, but for those that end it."""
        self._held_end = data[-HELD_BYTES:]
        self._end_arrived_at = clock.now_s()
        self._pass_end_after(hold_s)
        if self._parse(data[:-HELD_BYTES]):
            self._watch.on_end_held()
            self._ask_for_reply()

    def _ask_for_reply(self) -> None:
        """Send a request whose reply shows that the response before it is over.

        A server answers the requests of a connection in order (RFC 9112, section 9.3.2), so that
        the rest of a stream whose last chunk came early comes before the reply.
        """
        watch, transport = self._watch, self.transport
        is_free = not self._should_close and watch.is_request_written()
        if not (watch.question_path and is_free) or transport is None or transport.is_closing():
            return
        host, port = transport.get_extra_info("peername")[:2]
        host = f"[{host}]" if ":" in host else host
        question = f"GET {watch.question_path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        self._reply = ReplyScanner()
        self._pass_end_after(MAX_REPLY_WAIT_S)
        transport.write(question.encode())

    def _pass_end_after(self, hold_s: float) -> None:
        """Process the bytes that end a stream after a time, or earlier if its caller has less."""
        if self._hold is not None:
            self._hold.cancel()
        remaining_s = DEADLINE_SHARE * (self._watch.deadline - clock.now_s())
        hold_s = max(0.0, min(hold_s, remaining_s))
        self._hold = asyncio.get_running_loop().call_later(hold_s, self._end_hold)

    @property
    def _is_reply_due(self) -> bool:
        return self._reply is not None and not self._reply.is_complete

    def _end_hold(self) -> None:
        """Process the bytes that end a stream after the time for which they are held back."""
        if self._reading_paused:
            # What follows them may have arrived; they are held back until it is read.
            self._hold = None
            return
        if self._is_reply_due and self._is_doubted:
            self._reject(f"no reply {MAX_REPLY_WAIT_S} s after the last chunk")
            return
        if self._is_reply_due:
            # It would be taken for the response to the next request.
            self._should_close = True
        self._pass_end()

    def _pass_end(self) -> None:
        """Process the bytes that end a stream, if they were held back."""
        if self._hold is not None:
            self._hold.cancel()
            self._hold = None
        self._reply = None
        data, self._held_end = self._held_end, b""
        if data:
            self._parse(data)

    def _receive_after_end(self, data: bytes) -> None:
        """Process bytes that follow the end of a stream that is held back."""
        if self._reply is not None and self._reply.takes_more:
            self._receive_reply(data, self._reply)
        elif may_begin_response(data):
            self._pass_end()
            self._receive_excess(data, 0.0)
        else:
            self._reject_early_end(f"{len(data)} bytes after the last chunk")

    def _receive_reply(self, data: bytes, reply: ReplyScanner) -> None:
        """Process bytes of the reply that shows that a stream is over."""
        try:
            reply.scan(data)
        except MalformedResponseError as error:
            self._reject_early_end(f"after the last chunk: {error}")
            return
        if not reply.is_complete:
            return
        if reply.excess and not may_begin_response(reply.excess):
            # A server may write the reply before the rest of the stream.
            self._reject_early_end(f"{len(reply.excess)} bytes after the last chunk and a reply")
            return
        if not reply.may_follow:
            self._should_close = True
        held_s = clock.now_s() - self._end_arrived_at
        self._pass_end_after(MIN_END_HOLD_S - held_s)

    def _receive_excess(self, data: bytes, after_end_s: float) -> None:
        """Close the connection of a response that more bytes follow."""
        self._report_fault(f"{len(data)} bytes after a response", after_end_s)
        if not may_begin_response(data):
            self._doubt_ends(self._body)
        self._abort()

    def _parse(self, data: bytes) -> bool:
        """Parse received bytes; return whether the connection is still open."""
        super().data_received(data)
        transport, payload = self.transport, self._payload
        if transport is None or transport.is_closing():
            # aiohttp raises an error in a body only to the reader of the next response.
            self._fail_body(ClientPayloadError("invalid framing"))
            return False
        exceeded = self._framing.add(len(data), payload.total_bytes if payload is not None else 0)
        if exceeded is None:
            return True
        self._fail(ResponseCutOffError(str(exceeded)))
        return False

    def _reject_early_end(self, reason: str) -> None:
        """End a response whose last chunk came early, and doubt those that follow."""
        self._doubt_ends(self._body)
        self._reject(reason)

    def _doubt_ends(self, body: BodyScanner | None) -> None:
        """Doubt the ends of the peer's responses if one in chunks ended too early."""
        if self._doubts is not None and isinstance(body, ChunkScanner):
            self._doubts.add(self.address, clock.now_s())

    @property
    def address(self) -> str:
        """HOST:PORT of the peer, or nothing if the connection is lost."""
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        return f"{peer[0]}:{peer[1]}" if peer else ""

    def _reject(self, reason: str) -> None:
        """End a response that does not follow HTTP/1.1, and its connection."""
        self._report_fault(reason)
        self._fail(RejectedResponseError(reason))

    def _fail(self, error: ClientPayloadError) -> None:
        """Raise an error to the reader of a response, and close its connection."""
        self._held_end = b""
        self.set_exception(error)
        self._fail_body(error)
        self._abort()

    def _report_fault(self, reason: str, after_end_s: float | None = None) -> None:
        self._report(ResponseFault(self.address, reason, after_end_s))

    def _fail_body(self, error: ClientPayloadError) -> None:
        """Raise an error to the reader of an incomplete body."""
        payload = self._payload
        if self._exception is not None and payload is not None and not payload.is_eof():
            set_exception(payload, error)

    def _abort(self) -> None:
        self._should_close = True
        if self.transport is not None:
            self.transport.abort()

    def _is_idle(self) -> bool:
        payload_over = self._payload is None or self._payload.is_eof()
        return self._response_count > 0 and payload_over


def idle_limit_s(keep_alive: str) -> float:
    """Return for how long a connection may be reused, given a response's Keep-Alive header."""
    for parameter in keep_alive.split(","):
        name, _, value = parameter.partition("=")
        value = value.strip()
        if name.strip().lower() == "timeout" and value.isascii() and value.isdigit():
            return min(IDLE_TIMEOUT_SHARE * int(value[:MAX_TIMEOUT_DIGITS]), MAX_IDLE_S)
    return constants.ENGINE_IDLE_CONNECTION_SECONDS


def guarded_session(
    connector: TCPConnector,
    body_limits: BodyLimits,
    report: ReportFault,
    holds_ends: bool = False,
    **options: Any,
) -> ClientSession:
    """Return a session with guarded connections that sends each request once."""
    # aiohttp has no public way to choose the protocol class, or to forbid the second send on a
    # kept-alive connection; features check that both overrides still work.
    connector._factory = functools.partial(  # type: ignore[assignment]
        GuardedResponseHandler,
        loop=asyncio.get_running_loop(),
        report=report,
        doubts=EndDoubts() if holds_ends else None,
        polls=clock.PollClock(),
    )
    session = ClientSession(
        connector=connector, response_class=limited_response(body_limits), **options
    )
    session._retry_connection = False
    return session


def new_session(report: ReportFault = no_report) -> ClientSession:
    """Return a session for engines, peers and the platform of the own interface."""
    return guarded_session(TCPConnector(limit=0), BodyLimits(), report)
