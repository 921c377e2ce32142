"""Answers that stop before their end, and how their connections end then."""

import asyncio
import os
import signal

from features.standin.connections import reset

CLOSED, RESET, KILLED = "closed", "reset", "killed"
# The pause between the two segments of an answer that does not arrive at once.
PAUSE_S = 1.0
READ_S = 0.01
STATUS_LINE = "HTTP/1.1 {} OK\r\n"
INTERIM_HEAD = "HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"


def _length(body):
    return f"Content-Length: {len(body)}\r\n"


def _chunks(body, ending="0\r\n\r\n"):
    return f"{len(body):x}\r\n{body}\r\n{ending}"


# By where it stops: an answer of a status line, header lines and a body, up to there.
PLACES = {
    "in the status line": lambda status, lines, body: status[:11],
    "before the end of the status line": lambda status, lines, body: status[:-2],
    "after the status line": lambda status, lines, body: status,
    "after a line feed alone": lambda status, lines, body: status.replace("\r", ""),
    "between header lines": lambda status, lines, body: status + lines,
    "in the name of a header": lambda status, lines, body: status + lines + "Content-Le",
    "before the digits of the length": lambda status, lines, body: (
        status + lines + "Content-Length:"
    ),
    # Without the last digit the length is that of a shorter body.
    "in the digits of the length": lambda status, lines, body: status + lines + _length(body)[:-3],
    "at a length of 0": lambda status, lines, body: status + lines + "Content-Length: 0",
    "before the blank line": lambda status, lines, body: status + lines + _length(body),
    "before the blank line of chunks": lambda status, lines, body: status + lines + CHUNKED,
    "in the blank line": lambda status, lines, body: status + lines + _length(body) + "\r",
    "in the blank line without framing": lambda status, lines, body: status + lines + "\r",
    "in an interim head": lambda status, lines, body: INTERIM_HEAD[:-9],
    "before the blank line of an interim head": lambda status, lines, body: INTERIM_HEAD[:-2],
    "after an interim head": lambda status, lines, body: INTERIM_HEAD,
    "after an interim head in the next": lambda status, lines, body: INTERIM_HEAD + status + lines,
    "after a head with a length": lambda status, lines, body: (
        status + lines + _length(body) + "\r\n"
    ),
    "after a head with chunks": lambda status, lines, body: status + lines + CHUNKED + "\r\n",
    "in a body with a length": lambda status, lines, body: (
        status + lines + _length(body) + "\r\n" + body[:-1]
    ),
    "in the size of a chunk": lambda status, lines, body: (
        status + lines + CHUNKED + "\r\n" + f"{len(body):x}"
    ),
    "in the size of the second chunk": lambda status, lines, body: (
        status + lines + CHUNKED + "\r\n" + _chunks(body[:10], ending="1")
    ),
    "in the last chunk": lambda status, lines, body: (
        status + lines + CHUNKED + "\r\n" + _chunks(body, ending="0")
    ),
    "in the trailers after a part": lambda status, lines, body: (
        status + lines + CHUNKED + "\r\n" + _chunks(body, ending="0\r\nX-Trailer: a")
    ),
    "before the blank line of the trailers": lambda status, lines, body: (
        status + lines + CHUNKED + "\r\n" + _chunks(body, ending="0\r\nX-Trailer: a\r\n")
    ),
}
# Nothing but the end of the connection says that such an answer is over.
HEAD_ALONE = "after a head without framing"
# A place may follow this word: the answer then comes in two segments with a pause between.
SLOWLY = "slowly "


def cut_answer(place, headers, body, status=200):
    """Return the bytes of an answer that stops at a place."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    first = STATUS_LINE.format(status)
    if place == HEAD_ALONE:
        return f"{first}{lines}\r\n".encode()
    return PLACES[place.removeprefix(SLOWLY)](first, lines, body).encode()


def is_cut(fault):
    """Return whether a fault of an engine is an answer that stops."""
    return fault.rpartition(", ")[0].removeprefix(SLOWLY) in PLACES


async def send_cut(transport, fault, headers, body):
    """Send an answer that stops at a place, and end its connection or this process."""
    place, _, ending = fault.rpartition(", ")
    data = cut_answer(place, headers, body)
    if place.startswith(SLOWLY):
        transport.write(data[: len(data) // 2])
        await asyncio.sleep(PAUSE_S)
        data = data[len(data) // 2 :]
    transport.write(data)
    if ending == RESET:
        # A reset discards the bytes that were not read yet.
        await asyncio.sleep(READ_S)
    end_cut(transport, ending)


def end_cut(transport, ending):
    """End the connection of an answer that stopped, or this process."""
    if ending == KILLED:
        os.kill(os.getpid(), signal.SIGKILL)
    if ending == RESET:
        reset(transport)
    transport.close()
