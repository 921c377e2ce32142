"""Collects the words that go to all peers at once, from one turn of the event loop, sans-IO.

A word to all peers takes a sending to each, and wakes each of them. A request may call for two
words, and a node that is late takes up many requests in one turn.
"""

from liftrill.messages import peer_pb2 as messages

# Of 16 bytes each, so that a datagram with a spending stays under 1,200 bytes.
PREFILLS_PER_DATAGRAM = 64


class BroadcastBatch:
    """What is to be sent to all peers when this turn is over."""

    def __init__(self) -> None:
        self._spendings: list[messages.Datagram] = []
        self._prefills: list[messages.ReadingBegun] = []

    def __bool__(self) -> bool:
        return bool(self._spendings or self._prefills)

    def add_spending(self, datagram: messages.Datagram) -> None:
        """Add a datagram that tells of a tenant's spending."""
        self._spendings.append(datagram)

    def add_prefill(self, prefill: messages.ReadingBegun) -> None:
        """Add that an engine was given a long prompt to read."""
        self._prefills.append(prefill)

    def take(self) -> list[messages.Datagram]:
        """Return the datagrams to send, and begin anew.

        A node of an older version reads of each datagram the spending alone, or the first
        reading where there is none: it misses hints on load, and never what counts under a limit.
        """
        datagrams, self._spendings = self._spendings, []
        readings, self._prefills = self._prefills, []
        for index, start in enumerate(range(0, len(readings), PREFILLS_PER_DATAGRAM)):
            chunk = readings[start : start + PREFILLS_PER_DATAGRAM]
            if index == len(datagrams):
                datagrams.append(messages.Datagram(reading_begun=chunk.pop(0)))
            datagrams[index].readings.extend(chunk)
        return datagrams
