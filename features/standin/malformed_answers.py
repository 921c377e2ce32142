"""Answers of engines that do not follow HTTP/1.1, and unusual ones that do."""

import asyncio
import re

EVENT_END = "\n\n"
LAST_CHUNK = "0\r\n\r\n"
CHUNKED = "Transfer-Encoding: chunked"
# A body without events is sent in pieces of this many bytes.
PIECE_BYTES = 50
# The pieces that come before the fault.
SOUND_PIECES = 2
# For how long the connection stays open afterwards.
LINGER_S = 0.3
LATER = re.compile(r"(.*), the rest (\d+) ms later(?:, events (\d+) ms apart)?")
CLOSED_LATER = re.compile(r"(.*), closed (\d+) ms later")
# Follows each chunk of an event.
EVENT_CHUNK = re.compile(rb"(?<=\n\n\r\n)")


def _pieces(body):
    """Return a body as its events, or in pieces of one size."""
    if EVENT_END in body:
        return [event + EVENT_END for event in body.split(EVENT_END)[:-1]]
    return [body[at : at + PIECE_BYTES] for at in range(0, len(body), PIECE_BYTES)]


def _chunk(piece, size=None):
    return f"{len(piece) if size is None else size:x}\r\n{piece}\r\n"


def _early_end(after):
    """Return a fault: the last chunk comes early, and text after it."""

    def chunks(pieces):
        first, rest = pieces[:SOUND_PIECES], pieces[SOUND_PIECES:]
        sound = "".join(map(_chunk, first))
        return sound + LAST_CHUNK, after("".join(map(_chunk, rest)) + LAST_CHUNK)

    return chunks


def _third(damage):
    """Return a fault: damage in the third chunk."""

    def chunks(pieces):
        before, after = pieces[:SOUND_PIECES], pieces[SOUND_PIECES + 1 :]
        damaged = damage(pieces[SOUND_PIECES])
        rest = "".join(map(_chunk, after)) + LAST_CHUNK
        return "".join(map(_chunk, before)) + damaged + rest, ""

    return chunks


# By what is wrong with the chunks: a function of the pieces of a body, which returns the text up to
# the end of the fault and what may follow later.
CHUNK_FAULTS = {
    "an early last chunk": _early_end(lambda rest: rest),
    "an early last chunk and half a chunk": _early_end(lambda rest: rest[: len(rest) // 2]),
    "an early last chunk and other bytes": _early_end(lambda rest: "\x01\x02 trouble\r\n"),
    "a chunk size of zeros": _third(lambda piece: f"00\r\n{piece}\r\n"),
    "a chunk size of zeros and a line feed": _third(lambda piece: f"000\n{piece}\r\n"),
    "a chunk size that is too small": _third(lambda piece: _chunk(piece, len(piece) - 1)),
    "a chunk size that is too large": _third(lambda piece: _chunk(piece, len(piece) + 1)),
    "a chunk size with a sign": _third(lambda piece: f"+{_chunk(piece)}"),
    "a chunk size with a prefix": _third(lambda piece: f"0x{_chunk(piece)}"),
    "a chunk size with an underscore": _third(
        lambda piece: f"{len(piece) // 16:x}_{len(piece) % 16:x}\r\n{piece}\r\n"
    ),
    "no chunk size": _third(lambda piece: f"\r\n{piece}\r\n"),
    "a line of a chunk size that ends with a line feed": _third(
        lambda piece: f"{len(piece):x}\n{piece}\r\n"
    ),
    "a chunk that ends with a line feed": _third(lambda piece: f"{len(piece):x}\r\n{piece}\n"),
    "a chunk that ends with a carriage return": _third(
        lambda piece: f"{len(piece):x}\r\n{piece}\r"
    ),
    "a chunk without an end": _third(lambda piece: f"{len(piece):x}\r\n{piece}"),
    "a control byte in a chunk extension": _third(
        lambda piece: f"{len(piece):x};a=\x01\r\n{piece}\r\n"
    ),
}


def _with_line(line):
    return lambda status, lines: (status, [line, *lines])


def _with_status(text):
    return lambda status, lines: (text, lines)


# By what is wrong with the head: a function of its first line and of its other lines.
HEAD_FAULTS = {
    "status 000": _with_status("HTTP/1.1 000 OK"),
    "status 000 without a reason": _with_status("HTTP/1.1 000"),
    "status 099": _with_status("HTTP/1.1 099 OK"),
    "status 600": _with_status("HTTP/1.1 600 OK"),
    "status 999": _with_status("HTTP/1.1 999 OK"),
    "status 20": _with_status("HTTP/1.1 20 OK"),
    "status 2000": _with_status("HTTP/1.1 2000 OK"),
    "status 2OO": _with_status("HTTP/1.1 2OO OK"),
    "status -20": _with_status("HTTP/1.1 -20 OK"),
    "status 101": _with_status("HTTP/1.1 101 Switching Protocols"),
    "two blanks before the status": _with_status("HTTP/1.1  200 OK"),
    "a tab before the status": _with_status("HTTP/1.1\t200 OK"),
    "a control byte in the reason": _with_status("HTTP/1.1 200 O\x01K"),
    "version 2.0": _with_status("HTTP/2.0 200 OK"),
    "version 1.10": _with_status("HTTP/1.10 200 OK"),
    "version 0.9": _with_status("HTTP/0.9 200 OK"),
    "a blank in a field name": _with_line("X Note: 1"),
    "a blank before the colon": _with_line("X-Note : 1"),
    "a tab before the colon": _with_line("X-Note\t: 1"),
    "a control byte in a field name": _with_line("X-\x01Note: 1"),
    "a null byte in a field name": _with_line("X-\x00Note: 1"),
    "a delete byte in a field name": _with_line("X-\x7fNote: 1"),
    "a byte above 127 in a field name": _with_line("X-\xe4Note: 1"),
    "a bracket in a field name": _with_line("X-(Note): 1"),
    "an empty field name": _with_line(": 1"),
    "a line without a colon": _with_line("X-Note"),
    "a blank in the name of the length": _with_line("Content-Length : 5"),
    "a blank in the name of the coding": _with_line("Transfer-Encoding : identity"),
    "a control byte in a field value": _with_line("X-Note: a\x01b"),
    "a null byte in a field value": _with_line("X-Note: a\x00b"),
    "a carriage return in a field value": _with_line("X-Note: a\rX-Other: b"),
    "a folded line": _with_line("X-Note: a\r\n b"),
    "a blank before the first field": _with_line(" X-Note: a"),
    "line feeds alone at line ends": lambda status, lines: ("\n".join((status, *lines)), []),
    "an empty line of a line feed alone": lambda status, lines: (status, [*lines, "\n"]),
    "status 000 and line feeds alone": lambda status, lines: (
        "\n".join(("HTTP/1.1 000 OK", *lines, "", "")),
        [],
    ),
    "a length beside chunks": _with_line("Content-Length: 5"),
    "two lengths": _with_line("Content-Length: 5\r\nContent-Length: 6"),
    "a signed length": _with_line("Content-Length: +5"),
    "a length of another base": _with_line("Content-Length: 0x5"),
    "chunked twice": _with_line(CHUNKED),
    "a coding before chunked": lambda status, lines: (
        status,
        [*lines[:-1], "Transfer-Encoding: gzip, chunked"],
    ),
}
SECOND_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
# Unusual answers that are sound: the text before the head, the first line of the head, further
# lines, the form of a chunk and the end.
SOUND = {
    "no reason": ("", "HTTP/1.1 200", [], _chunk, LAST_CHUNK),
    "an empty reason": ("", "HTTP/1.1 200 ", [], _chunk, LAST_CHUNK),
    "a reason above 127": ("", "HTTP/1.1 200 \xe4", [], _chunk, LAST_CHUNK),
    "empty and long values": (
        "",
        "HTTP/1.1 200 OK",
        ["X-Empty:", "x-tab:\ta\tb ", "X-Long: " + "a" * 5_000],
        _chunk,
        LAST_CHUNK,
    ),
    "interim responses": (
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 2,
        "HTTP/1.1 200 OK",
        [],
        _chunk,
        LAST_CHUNK,
    ),
    "chunk extensions": (
        "",
        "HTTP/1.1 200 OK",
        [],
        lambda piece: f'{len(piece):x};a="b";c\r\n{piece}\r\n',
        LAST_CHUNK,
    ),
    "capital letters and leading zeros": (
        "",
        "HTTP/1.1 200 OK",
        [],
        lambda piece: f"000{len(piece):X}\r\n{piece}\r\n",
        "000\r\n\r\n",
    ),
    "announced trailer fields": (
        "",
        "HTTP/1.1 200 OK",
        ["Trailer: X-Sum, Expires"],
        _chunk,
        "0\r\nx-sum: 1\r\nExpires: 0\r\n\r\n",
    ),
    "a second answer": ("", "HTTP/1.1 200 OK", [], _chunk, LAST_CHUNK + SECOND_ANSWER),
}
FAULTS = (*HEAD_FAULTS, *CHUNK_FAULTS)


def is_malformed(fault):
    """Return whether a fault of an engine is one of these answers."""
    later = LATER.fullmatch(fault) or CLOSED_LATER.fullmatch(fault)
    return (later[1] if later else fault) in (*FAULTS, *SOUND)


def malformed_answer(fault, headers, body, code=200, pieces=None):
    """Return the bytes of an answer, and those that may follow later."""
    status, lines = f"HTTP/1.1 {code} OK", [f"{name}: {value}" for name, value in headers.items()]
    lines.append(CHUNKED)
    pieces = pieces or _pieces(body)
    chunks, rest = "".join(map(_chunk, pieces)) + LAST_CHUNK, ""
    if fault in SOUND:
        before, status, more, chunk, ending = SOUND[fault]
        status, lines = before + status, [*more, *lines]
        chunks = "".join(map(chunk, pieces)) + ending
    elif fault in HEAD_FAULTS:
        status, lines = HEAD_FAULTS[fault](status, lines)
    else:
        chunks, rest = CHUNK_FAULTS[fault](pieces)
    head = "\r\n".join((status, *lines, "", ""))
    return (head + chunks).encode("latin-1"), rest.encode("latin-1")


async def send_malformed(transport, fault, headers, body):
    """Send one of these answers, and leave its connection open for a while."""
    later, closed = LATER.fullmatch(fault), CLOSED_LATER.fullmatch(fault)
    found = later or closed
    first, rest = malformed_answer(found[1] if found else fault, headers, body)
    if closed is not None:
        transport.write(first)
        await asyncio.sleep(int(closed[2]) / 1000)
        transport.close()
        return
    if later is None:
        transport.write(first + rest)
    else:
        await _send_paced(transport, first, int(later[3] or 0) / 1000)
        await asyncio.sleep(int(later[2]) / 1000)
        transport.write(rest)
    await asyncio.sleep(LINGER_S)
    transport.close()


async def _send_paced(transport, text, pause_s):
    """Send an answer event by event, and its last chunk with its last event."""
    *events, last, end = EVENT_CHUNK.split(text) if pause_s else ("", text, b"")
    for event in filter(None, events):
        transport.write(event)
        await asyncio.sleep(pause_s)
    transport.write(last + end)
