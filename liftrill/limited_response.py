"""aiohttp's response, whose body is read only up to limits."""

import aiohttp
from aiohttp.helpers import set_exception

from liftrill.response_limits import BodyLimits, ResponseTooLargeError


class ResponseCutOffError(ResponseTooLargeError, aiohttp.ClientPayloadError):
    """The connection of a response that exceeds a limit was closed."""


class LimitedResponse(aiohttp.ClientResponse):
    """A response whose body is read only up to limits.

    Attributes:
        body_limits: the limits that all responses of a session share.
    """

    body_limits = BodyLimits()

    async def read(self) -> bytes:
        """Return the whole body.

        Raises:
            ResponseCutOffError: the body is too large, or the bodies of all responses are.
        """
        if self._body is None:
            try:
                self._body = await self._read_limited()
            except ResponseTooLargeError as error:
                self.close()
                raise ResponseCutOffError(str(error)) from error
            except BaseException:
                self.close()
                raise
        return await super().read()

    async def _read_limited(self) -> bytes:
        data = await self.content.readany()
        if self.content.at_eof():
            # The usual body arrives in one piece, which the flow control of the reader limits.
            return data
        body = self.body_limits.begin(self.content_length or 0, self._evict)
        try:
            while data:
                self.body_limits.add(body, data)
                data = await self.content.readany()
            if body.error is not None:
                # Its end had arrived already, or looks like that of a response without a length.
                raise body.error
            return b"".join(body.pieces)
        finally:
            self.body_limits.end(body)

    def _evict(self, error: ResponseTooLargeError) -> None:
        set_exception(self.content, ResponseCutOffError(str(error)))
        if self._connection is not None:
            self._connection.close()


def limited_response(limits: BodyLimits) -> type[LimitedResponse]:
    """Return the response class of a session with its own limits."""
    return type("LimitedResponse", (LimitedResponse,), {"body_limits": limits})
