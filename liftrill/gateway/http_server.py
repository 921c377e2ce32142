"""The parts of aiohttp's server that are used here.

The package aiohttp.web would also import applications, routing and file responses, which no node
uses.
"""

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server
from aiohttp.web_ws import WebSocketResponse

__all__ = ["BaseRequest", "Response", "Server", "StreamResponse", "WebSocketResponse"]
