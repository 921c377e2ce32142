"""Responses to callers: completions, stream chunks and errors in OpenAI's format."""

import math
import time
from dataclasses import dataclass

import orjson
from aiohttp import web

from liftrill.errors import CodedError, Execution, RequestError
from liftrill.node.caller_schema import CODE_HEADER, EXECUTION_HEADER, REQUEST_ID_HEADER
from liftrill.routing.outcome import Completed

JSON_CONTENT_TYPE = "application/json"
STREAM_DONE = b"data: [DONE]\n\n"


@dataclass(frozen=True, slots=True)
class ResponseFormat:
    """The fields in which responses of completions and chat completions differ."""

    id_prefix: str
    object_name: str
    chunk_object_name: str
    chat: bool


COMPLETION_FORMAT = ResponseFormat("cmpl-", "text_completion", "text_completion", chat=False)
CHAT_FORMAT = ResponseFormat("chatcmpl-", "chat.completion", "chat.completion.chunk", chat=True)


class ResponseWriter:
    """Serializes the response of one request."""

    def __init__(self, response_format: ResponseFormat, request_id: str, model: str) -> None:
        self._format = response_format
        self._request_id = request_id
        self._model = model
        self._created = int(time.time())
        common_fields = self._common_fields(response_format.chunk_object_name)
        # The constant start of each chunk is serialized only once, since chunks are the hot path.
        self._chunk_start = b"data: " + orjson.dumps(common_fields)[:-1]

    def chunk(self, index: int, text: str) -> bytes:
        """Return one token as a server-sent event."""
        quoted = orjson.dumps(text)
        if self._format.chat:
            choice = b'{"index":0,"delta":{"content":' + quoted + b'},"finish_reason":null}'
        else:
            choice = b'{"index":0,"text":' + quoted + b',"finish_reason":null}'
        return b'%b,"token_index":%d,"choices":[%b]}\n\n' % (self._chunk_start, index, choice)

    def last_chunk(self, completed: Completed) -> bytes:
        """Return the end of a stream: the finish reason, the usage and the [DONE] event."""
        choice: dict[str, object] = {"index": 0, "finish_reason": completed.finish_reason}
        choice["delta" if self._format.chat else "text"] = {} if self._format.chat else ""
        content = self._common_fields(self._format.chunk_object_name)
        content |= {"choices": [choice], **_usage_fields(completed)}
        return b"data: " + orjson.dumps(content) + b"\n\n" + STREAM_DONE

    def full_response(self, completed: Completed, text: str) -> web.Response:
        """Return the response of a request without streaming."""
        choice: dict[str, object] = {"index": 0, "finish_reason": completed.finish_reason}
        if self._format.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        content = self._common_fields(self._format.object_name)
        content |= {"choices": [choice], **_usage_fields(completed)}
        headers = {
            REQUEST_ID_HEADER: self._request_id,
            EXECUTION_HEADER: Execution.RAN.value,
        }
        body = orjson.dumps(content)
        return web.Response(body=body, headers=headers, content_type=JSON_CONTENT_TYPE)

    def _common_fields(self, object_name: str) -> dict[str, object]:
        return {
            "id": self._format.id_prefix + self._request_id,
            "object": object_name,
            "created": self._created,
            "model": self._model,
        }


def error_body(error: CodedError, request_id: str = "") -> dict[str, object]:
    """Return the body of an error in OpenAI's format."""
    content: dict[str, object] = {
        "message": error.detail or error.code.value.meaning,
        "type": error.code.name.lower(),
        "code": error.code.number,
        "param": None,
    }
    if isinstance(error, RequestError):
        content["execution"] = error.execution.value
        content["request_id"] = request_id
    return {"error": content}


def error_response(error: CodedError, request_id: str = "") -> web.Response:
    """Return the HTTP response of an error."""
    headers = {CODE_HEADER: str(error.code.number)}
    if request_id:
        headers[REQUEST_ID_HEADER] = request_id
    if isinstance(error, RequestError):
        headers[EXECUTION_HEADER] = error.execution.value
    if error.retry_after_seconds is not None:
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after_seconds)))
    return web.Response(
        body=orjson.dumps(error_body(error, request_id)),
        status=error.code.http_status,
        headers=headers,
        content_type=JSON_CONTENT_TYPE,
    )


def error_event(error: CodedError, request_id: str) -> bytes:
    """Return an error as the last event of a stream that has started."""
    return b"data: " + orjson.dumps(error_body(error, request_id)) + b"\n\n"


def json_response(content: object, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(body=orjson.dumps(content), status=status, content_type=JSON_CONTENT_TYPE)


def _usage_fields(completed: Completed) -> dict[str, object]:
    usage = {
        "prompt_tokens": completed.prompt_tokens,
        "completion_tokens": completed.completion_tokens,
        "total_tokens": completed.prompt_tokens + completed.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": completed.cached_tokens},
    }
    return {"usage": usage, "weight_version": completed.weight_version}
