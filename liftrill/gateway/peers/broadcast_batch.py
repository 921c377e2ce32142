"""Batches the broadcasts of one event loop iteration, sans-IO.

A broadcast takes one send for each peer, and wakes every peer. A request may cause two broadcasts,
and a node whose loop lags handles many requests in one iteration.
"""

from liftrill.messages import peer_pb2 as messages

# 16 bytes each, so that a datagram with a spending stays under 1,200 bytes.
PREFILLS_PER_DATAGRAM = 64


class BroadcastBatch:
    """The messages to broadcast at the end of this event loop iteration."""

    def __init__(self) -> None:
        self._spendings: list[messages.Datagram] = []
        self._prefills: list[messages.ReadingBegun] = []

    def __bool__(self) -> bool:
        return bool(self._spendings or self._prefills)

    def add_spending(self, datagram: messages.Datagram) -> None:
        """Add a datagram with the spending of a tenant."""
        self._spendings.append(datagram)

    def add_prefill(self, prefill: messages.ReadingBegun) -> None:
        """Add the start of a long prefill on an engine."""
        self._prefills.append(prefill)

    def drain(self) -> list[messages.Datagram]:
        """Return the datagrams to send, and clear the batch.

        A node of an older version decodes only the spending of each datagram, or the first prefill
        if there is no spending. So it misses some load hints, but no spending.
        """
        datagrams, self._spendings = self._spendings, []
        prefills, self._prefills = self._prefills, []
        for index, start in enumerate(range(0, len(prefills), PREFILLS_PER_DATAGRAM)):
            chunk = prefills[start : start + PREFILLS_PER_DATAGRAM]
            if index == len(datagrams):
                datagrams.append(messages.Datagram(reading_begun=chunk.pop(0)))
            datagrams[index].readings.extend(chunk)
        return datagrams
