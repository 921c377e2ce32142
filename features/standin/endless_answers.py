"""Answers of a faulty engine that do not end until the connection is closed."""

import asyncio
import time

PIECE_BYTES = 600_000
PIECE_SECONDS = 0.005
# A node that reads on is not sent more than this long.
MAX_SECONDS = 6.0
EVENT_STREAM = "Content-Type: text/event-stream\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
ZEROS = bytes(PIECE_BYTES)
TEXT = b"x" * PIECE_BYTES
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
# By what does not end: the status, further header lines, what begins the body, and what follows
# again and again. No status means that there is no head.
ENDLESS = {
    "body": (200, "", b"", ZEROS),
    "body with a length": (200, "Content-Length: 100000000000\r\n", b"", ZEROS),
    "body in chunks": (200, CHUNKED, b"", b"%x\r\n" % PIECE_BYTES + ZEROS + b"\r\n"),
    "body of a failure": (500, "", b"", ZEROS),
    "interim answers": (0, "", b"", INTERIM * (PIECE_BYTES // len(INTERIM))),
    "chunk extension": (200, CHUNKED, b"5;", TEXT),
    "trailers": (200, CHUNKED, b"0\r\n", b"X-A: b\r\n" * (PIECE_BYTES // 8)),
    "header line": (0, "", b"HTTP/1.1 200 OK\r\nX-A: ", TEXT),
    "header lines": (0, "", b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * (PIECE_BYTES // 8)),
    "bytes that are not HTTP": (0, "", b"", TEXT),
    "encoded body": (200, "Content-Encoding: gzip\r\n", b"", ZEROS),
    "body of a refusal": (503, "X-Not-Executed: 1\r\n", b"", ZEROS),
    "body of a misdirection": (421, "X-Instance-Id: other\r\n", b"", ZEROS),
    "event": (200, EVENT_STREAM, b"id: 1\ndata: a\n\nid: 2\ndata: ", TEXT),
    "comment": (200, EVENT_STREAM, b"id: 1\ndata: a\n\n:", TEXT),
    "events without ids": (200, EVENT_STREAM, b"", b"data: x\n\n" * (PIECE_BYTES // 9)),
}
# Answers with broken chunks, after which the connection stays open.
BROKEN = {
    "broken chunks": (200, CHUNKED, b"5\r\nhello\r\nxyz\r\n", b""),
    "broken chunks of events": (200, CHUNKED, b"f\r\nid: 1\ndata: a\n\n\r\nxyz\r\n", b""),
}
ENDLESS |= BROKEN


async def send_endless(transport, headers, kind, closings):
    """Send an endless answer until the connection closes; record the bytes and the seconds."""
    status, lines, first, piece = ENDLESS[kind]
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items()) + lines
    began = time.monotonic()
    if status:
        transport.write(f"HTTP/1.1 {status} X\r\n{head}\r\n".encode())
    transport.write(first)
    sent = 0
    try:
        while not transport.is_closing() and time.monotonic() - began < MAX_SECONDS:
            if piece and transport.get_write_buffer_size() < PIECE_BYTES:
                transport.write(piece)
                sent += len(piece)
            await asyncio.sleep(PIECE_SECONDS)
    finally:
        # The server cancels its handler when the node closes the connection.
        closings.append((sent, time.monotonic() - began))
        transport.abort()
