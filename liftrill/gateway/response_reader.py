"""Reads the responses of engines as events of a delivery."""

import aiohttp

from liftrill.gateway import delivery_events as events
from liftrill.gateway.event_stream import EventSplitter
from liftrill.response_limits import ResponseTooLargeError

# Many small events that arrive at once are processed in several turns.
READ_BYTES = 16_384
STATUSES_WITHOUT_BODY = (204, 304)


def interruption(error: Exception) -> events.AttemptInterrupted:
    """Return the event of an error that ended an attempt after its request was sent."""
    if isinstance(error, ResponseTooLargeError):
        return events.AttemptInterrupted(str(error), is_rejected=True)
    return events.AttemptInterrupted(type(error).__name__)


def framing_of(response: aiohttp.ClientResponse) -> events.Framing:
    """Return how the end of a response's body is marked."""
    if "chunked" in response.headers.get("Transfer-Encoding", "").lower():
        return events.Framing.CHUNKS
    has_no_body = response.method == "HEAD" or response.status in STATUSES_WITHOUT_BODY
    if has_no_body or response.content_length is not None:
        return events.Framing.LENGTH
    return events.Framing.CONNECTION


async def read_whole(
    response: aiohttp.ClientResponse, headers: events.Headers
) -> list[events.DeliveryEvent]:
    """Return the event of a whole response, with the headers to pass on."""
    try:
        body = await response.read()
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        return [interruption(error)]
    return [events.CompleteResponse(response.status, headers, body, framing_of(response))]


class EventReader:
    """Reads the events of one streamed response."""

    def __init__(self, content: aiohttp.StreamReader, version_field: bytes) -> None:
        self._content = content
        self._splitter = EventSplitter(version_field)

    async def read(self) -> list[events.DeliveryEvent]:
        """Return the events in the next bytes of the stream."""
        try:
            data = await self._content.read(READ_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return [interruption(error)]
        if not data:
            if self._splitter.has_partial_event:
                return [events.AttemptInterrupted("incomplete event at the end of the stream")]
            return [events.StreamCompleted()]
        received: list[events.DeliveryEvent] = [
            events.EventReceived(event) for event in self._splitter.feed(data)
        ]
        if (exceeded := self._splitter.limit_error) is not None:
            received.append(interruption(exceeded))
        return received
