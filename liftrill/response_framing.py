"""Checks the head and the chunks of responses against HTTP/1.1 (RFC 9112), sans-IO.

HTTP libraries accept more than the standard allows, so that damaged framing may look like the end
of a response. A response that does not follow the standard has no end that can be relied on.
"""

import re
from abc import ABC, abstractmethod
from collections.abc import Collection

from liftrill.errors import LiftrillError
from liftrill.response_limits import HEAD_END, MAX_FRAMING_BYTES, MAX_REPLY_BYTES

LINE_END = b"\r\n"
RESPONSE_BEGIN = b"HTTP/1."
CHUNKED = b"chunked"
# The longest line of a chunk's size, with its extension, and of a trailer field.
MAX_CHUNK_LINE_BYTES = 8_192
# Bytes of a malformed line that an error shows.
MAX_SHOWN_BYTES = 40

_TEXT = rb"[\t -~\x80-\xff]*"
_FIELD_LINE = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:" + _TEXT + rb"\r\n"
# No request asks for another protocol, which a status of 101 would begin.
_STATUS_LINE = rb"HTTP/1\.[01] (?!101)[1-5][0-9]{2}(?: " + _TEXT + rb")?\r\n"
_HEAD = re.compile(_STATUS_LINE + rb"(?:" + _FIELD_LINE + rb")*\r\n")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;" + _TEXT + rb")?\r\n")
_FIELD = re.compile(_FIELD_LINE)
_STATUS = re.compile(_STATUS_LINE)
_FRAMING_FIELD = re.compile(
    rb"\r\n(?:(transfer-encoding)|content-length):[ \t]*(.*?)[ \t]*(?=\r\n)", re.IGNORECASE
)
_NO_BODY = re.compile(rb"HTTP/1\.[01] (?:204|304)")
_TRAILER_FIELD = re.compile(rb"\r\ntrailer:([^\r]*)", re.IGNORECASE)
_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
_LENGTH = re.compile(rb"[0-9]{1,18}")
_CLOSE = re.compile(rb"^HTTP/1\.0|\r\nconnection:[^\r]*close", re.IGNORECASE)
FIRST_FINAL_STATUS = b"200"


class MalformedResponseError(LiftrillError):
    """A response does not follow HTTP/1.1."""


def check_head(head: bytes) -> None:
    """Check the status line and the fields of a head, which ends with an empty line.

    Raises:
        MalformedResponseError: a line is malformed, or the end of the body is not clear.
    """
    if _HEAD.fullmatch(head) is None:
        raise MalformedResponseError(_malformed_line(head))
    fields = [(found[1], found[2]) for found in _FRAMING_FIELD.finditer(head)]
    lengths = [value for coding, value in fields if not coding]
    if len(fields) == len(lengths):
        is_clear = len(fields) < 2 and all(map(_LENGTH.fullmatch, lengths))
    else:
        # The other codings change the body, and no request accepts them.
        is_chunked = [value.lower() for _, value in fields] == [CHUNKED]
        is_clear = is_chunked and not head.startswith(b"HTTP/1.0")
    if not is_clear:
        values = b", ".join(value for _, value in fields)
        raise MalformedResponseError(f"length and transfer codings: {_shown(values)}")


def _malformed_line(head: bytes) -> str:
    status_line, *fields = head.removesuffix(2 * LINE_END).split(LINE_END)
    if _STATUS.fullmatch(status_line + LINE_END) is None:
        return f"status line: {_shown(status_line)}"
    malformed = [field for field in fields if _FIELD.fullmatch(field + LINE_END) is None]
    return f"field line: {_shown(malformed[0] if malformed else head)}"


def may_begin_response(data: bytes) -> bool:
    """Return whether bytes begin another response, as far as they go."""
    return data.startswith(RESPONSE_BEGIN[: len(data)])


class HeadScanner:
    """Checks the heads of the responses to one request as their bytes arrive."""

    def __init__(self) -> None:
        self._head = bytearray()

    def scan(self, data: bytes) -> None:
        """Scan the next bytes, which end no later than the head.

        Raises:
            MalformedResponseError: the head is malformed.
        """
        # A line feed may follow the carriage return that was the last byte.
        searched = max(0, len(self._head) - 1)
        self._head += data
        if self._head.endswith(HEAD_END):
            head, self._head = bytes(self._head), bytearray()
            check_head(head)
        elif (found := _BARE_LINE_FEED.search(self._head, searched)) is not None:
            line = self._head[max(0, found.start() - MAX_SHOWN_BYTES) : found.end()]
            raise MalformedResponseError(f"line end: {bytes(line)!r}")


class BodyScanner(ABC):
    """Finds the end of a body in the bytes that follow its head.

    Attributes:
        is_complete: whether the end has been found.
    """

    is_complete = False

    @abstractmethod
    def scan(self, data: bytes) -> int:
        """Scan the next bytes, and return how many belong to the body.

        Raises:
            MalformedResponseError: they are malformed.
        """


class LengthScanner(BodyScanner):
    """Finds the end of a body whose length is known."""

    def __init__(self, length: int) -> None:
        self._unread_bytes = length
        self.is_complete = length == 0

    def scan(self, data: bytes) -> int:
        """Scan the next bytes, and return how many belong to the body."""
        read_bytes = min(self._unread_bytes, len(data))
        self._unread_bytes -= read_bytes
        self.is_complete = self._unread_bytes == 0
        return read_bytes


class ChunkScanner(BodyScanner):
    """Finds the end of a body that is sent in chunks.

    A trailer field that the head does not announce is malformed: after a damaged chunk size, the
    lines of the body look like trailer fields.
    """

    def __init__(self, trailers: Collection[str] = ()) -> None:
        self._trailers = frozenset(name.strip().lower() for name in trailers)
        self._unread_bytes = 0
        self._is_chunk_end_due = False
        self._is_in_trailers = False
        # The part of a line that has arrived.
        self._line = b""

    def scan(self, data: bytes) -> int:
        """Scan the next bytes, and return how many belong to the body.

        Raises:
            MalformedResponseError: they are malformed.
        """
        is_size_due = not (self._unread_bytes or self._is_chunk_end_due or self._is_in_trailers)
        at = _end_of_whole_chunks(data) if is_size_due and not self._line else 0
        while at < len(data) and not self.is_complete:
            if self._unread_bytes:
                read_bytes = min(self._unread_bytes, len(data) - at)
                self._unread_bytes -= read_bytes
                at += read_bytes
                continue
            end = data.find(b"\n", at) + 1
            if not end:
                self._line += data[at:]
                self._check_partial_line()
                return len(data)
            self._line += data[at:end]
            at = end
            self._check_length()
            line, self._line = self._line, b""
            self._read_line(line)
        return at

    def _check_length(self) -> None:
        if len(self._line) > MAX_CHUNK_LINE_BYTES:
            raise MalformedResponseError(f"line of {len(self._line)} bytes between chunks")

    def _check_partial_line(self) -> None:
        self._check_length()
        if self._is_chunk_end_due and not LINE_END.startswith(self._line):
            raise MalformedResponseError(f"end of a chunk: {_shown(self._line)}")

    def _read_line(self, line: bytes) -> None:
        if self._is_chunk_end_due:
            if line != LINE_END:
                raise MalformedResponseError(f"end of a chunk: {_shown(line)}")
            self._is_chunk_end_due = False
        elif self._is_in_trailers:
            self._read_trailer(line)
        else:
            self._read_size(line)

    def _read_size(self, line: bytes) -> None:
        found = _CHUNK_SIZE.fullmatch(line)
        if found is None:
            raise MalformedResponseError(f"size of a chunk: {_shown(line)}")
        self._unread_bytes = int(found[1], 16)
        self._is_chunk_end_due = self._unread_bytes > 0
        self._is_in_trailers = not self._is_chunk_end_due

    def _read_trailer(self, line: bytes) -> None:
        if line == LINE_END:
            self.is_complete = True
            return
        name = line.partition(b":")[0].decode("latin-1").lower()
        if _FIELD.fullmatch(line) is None or name not in self._trailers:
            raise MalformedResponseError(f"trailer field: {_shown(line)}")


class ReplyScanner:
    """Finds the end of one whole response in the bytes that a connection receives.

    Attributes:
        is_complete: whether the end has been found, or the head if only the connection ends it, or
            more than is read of a reply.
        may_follow: whether the connection may be used for a request after this response.
        excess: the bytes that followed the end in the same segment.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self.may_follow = False
        self.excess = b""
        # Whether all further bytes of the connection belong to this response.
        self._has_open_end = False
        self._read_bytes = 0
        self._head = b""
        self._body: BodyScanner | None = None

    @property
    def takes_more(self) -> bool:
        """Whether further bytes belong to this response."""
        return not self.is_complete or self._has_open_end

    def scan(self, data: bytes) -> None:
        """Scan the next bytes.

        Raises:
            MalformedResponseError: the head of a response is malformed.
        """
        if self.is_complete:
            return
        self._read_bytes += len(data)
        if self._body is None:
            data = self._scan_head(self._head + data)
        if self._body is None:
            return
        try:
            if not self._body.is_complete:
                data = data[self._body.scan(data) :]
        except MalformedResponseError:
            # Nothing but the head counts, and the connection is not used again.
            self._end_early()
        self.is_complete = self.is_complete or self._body.is_complete
        if not self.is_complete and self._read_bytes > MAX_REPLY_BYTES:
            self._end_early()
        self.excess = b"" if self.takes_more else data
        self.may_follow = self.may_follow and not self.excess

    def _end_early(self) -> None:
        """Take all further bytes for a part of this response."""
        self.is_complete = self._has_open_end = True
        self.may_follow = False

    def _scan_head(self, data: bytes) -> bytes:
        """Scan the bytes of a head, and return those that follow the final one."""
        while (end := data.find(HEAD_END) + len(HEAD_END)) >= len(HEAD_END):
            head, data = data[:end], data[end:]
            check_head(head)
            if head.split(b" ", 2)[1] >= FIRST_FINAL_STATUS:
                self._body = self._body_after(head)
                return data
        if not may_begin_response(data):
            raise MalformedResponseError(f"no response: {_shown(data)}")
        if len(data) > MAX_FRAMING_BYTES:
            raise MalformedResponseError(f"head of {len(data)} bytes")
        self._head = data
        return b""

    def _body_after(self, head: bytes) -> BodyScanner:
        """Return the scanner of the body that follows a head, as far as its end is marked."""
        fields = [(found[1], found[2]) for found in _FRAMING_FIELD.finditer(head)]
        self.may_follow = bool(fields) and _CLOSE.search(head) is None
        if not fields:
            self._has_open_end = _NO_BODY.match(head) is None
            return LengthScanner(0)
        coding, value = fields[0]
        if not coding:
            return LengthScanner(int(value))
        return ChunkScanner(b",".join(_TRAILER_FIELD.findall(head)).decode("latin-1").split(","))


def _end_of_whole_chunks(data: bytes) -> int:
    """Return where the chunks end that bytes begin with; most segments are one whole chunk."""
    at = 0
    while at < len(data) and (found := _CHUNK_SIZE.match(data, at)) is not None:
        end = found.end() + int(found[1], 16)
        is_last = end == found.end()
        if is_last or found.end() - at > MAX_CHUNK_LINE_BYTES or data[end : end + 2] != LINE_END:
            break
        at = end + len(LINE_END)
    return at


def _shown(data: bytes) -> str:
    return repr(data[:MAX_SHOWN_BYTES])
