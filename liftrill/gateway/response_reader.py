"""Reads the responses of engines as events of a delivery."""

import math
from collections.abc import Callable

import aiohttp

from liftrill.gateway import delivery_events as events
from liftrill.gateway.event_stream import EventSplitter
from liftrill.guarded_connection import EndWatch, GuardedResponseHandler
from liftrill.limited_response import LimitedResponse, ends_with_connection
from liftrill.response_framing import MalformedResponseError
from liftrill.response_limits import ResponseTooLargeError

# Many small events that arrive at once are processed in several turns.
READ_BYTES = 16_384
CONNECTION = events.Framing.CONNECTION


def interruption(error: Exception) -> events.AttemptInterrupted:
    """Return the event of an error that ended an attempt after its request was sent."""
    if isinstance(error, ResponseTooLargeError | MalformedResponseError):
        return events.AttemptInterrupted(str(error), is_rejected=True)
    return events.AttemptInterrupted(type(error).__name__)


def framing_of(response: aiohttp.ClientResponse) -> events.Framing:
    """Return how the end of a response's body is marked."""
    if ends_with_connection(response):
        return CONNECTION
    is_chunked = "Transfer-Encoding" in response.headers
    return events.Framing.CHUNKS if is_chunked else events.Framing.LENGTH


class ResponseEnd:
    """Observes how the connection of a response ends it."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        # Without a connection the response ended as its head was read.
        connection = response.connection
        self._handler = connection.protocol if connection is not None else None
        self._response = response

    def watch_end(
        self, on_end_held: Callable[[], None], deadline: float, question_path: str = ""
    ) -> None:
        """Call a function once the end of a stream has arrived, if it is held back."""
        if isinstance(self._handler, GuardedResponseHandler):
            watch = EndWatch(on_end_held, deadline, question_path, self._is_request_written)
            self._handler.watch_end(watch)

    def _is_request_written(self) -> bool:
        return isinstance(self._response, LimitedResponse) and self._response.is_request_written

    @property
    def is_confirmed(self) -> bool:
        """Whether the engine did not close the connection as its reply was due after the end."""
        handler = self._handler
        return not isinstance(handler, GuardedResponseHandler) or handler.is_end_confirmed

    @property
    def is_held(self) -> bool:
        """Whether the end of the response is held back as it arrives."""
        return isinstance(self._handler, GuardedResponseHandler) and self._handler.holds_end

    @property
    def times(self) -> events.CloseTimes:
        """When the connection was closed."""
        # Bytes that were not read at once may have arrived as reading was paused.
        paused_s = self._response.paused_s if isinstance(self._response, LimitedResponse) else 0.0
        is_after_end = not ends_with_connection(self._response)
        if not isinstance(self._handler, GuardedResponseHandler):
            return events.CloseTimes(paused_s, unread_s=paused_s, is_after_end=is_after_end)
        delay_s = self._handler.close_delay_s + paused_s
        unread_s = self._handler.unread_s + paused_s
        return events.CloseTimes(delay_s, self._handler.closed_at, unread_s, is_after_end)


def _ignore_end() -> None:
    """Do nothing as the end of a whole response is held back."""


async def read_whole(
    response: aiohttp.ClientResponse,
    headers: events.Headers,
    deadline: float = math.inf,
    question_path: str = "",
) -> list[events.DeliveryEvent]:
    """Return the event of a whole response, with the headers to pass on."""
    end = ResponseEnd(response)
    end.watch_end(_ignore_end, deadline, question_path)
    try:
        body = await response.read()
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        return [interruption(error)]
    framing = framing_of(response)
    complete = events.CompleteResponse(response.status, headers, body, framing)
    if framing is CONNECTION or not end.is_confirmed:
        return [events.ConnectionClosed(complete, end.times)]
    return [complete]


class EventReader:
    """Reads the events of one streamed response.

    Attributes:
        framing: how the end of the response is marked.
    """

    def __init__(self, response: aiohttp.ClientResponse, version_field: bytes) -> None:
        self.framing = framing_of(response)
        self._end = ResponseEnd(response)
        self._content = response.content
        self._splitter = EventSplitter(version_field)

    def watch_end(
        self, on_end_held: Callable[[], None], deadline: float, question_path: str = ""
    ) -> None:
        """Call a function once the end of a stream in chunks has arrived and is held back.

        The engine is asked for a path on the same connection, as its reply follows the stream.
        """
        if self.framing is events.Framing.CHUNKS:
            self._end.watch_end(on_end_held, deadline, question_path)

    async def read(self) -> list[events.DeliveryEvent]:
        """Return the events in the next bytes of the stream."""
        try:
            data = await self._content.read(READ_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return [interruption(error)]
        if not data:
            if self._splitter.has_partial_event:
                return [events.AttemptInterrupted("incomplete event at the end of the stream")]
            completed = events.StreamCompleted()
            if self.framing is not CONNECTION and self._end.is_confirmed:
                return [completed]
            return [events.ConnectionClosed(completed, self._end.times)]
        received: list[events.DeliveryEvent] = [
            events.EventReceived(event) for event in self._splitter.feed(data)
        ]
        if (exceeded := self._splitter.limit_error) is not None:
            received.append(interruption(exceeded))
        return received
