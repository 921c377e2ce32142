"""Turns reports of load into datagrams and back.

A report of a large zone does not fit one datagram, and what is larger than a packet of the
network is lost. So it is cut into pieces, and counts once all of them came.
"""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TypeVar

from liftrill.coordination.quota import QuotaReport
from liftrill.gateway.engines.engine_speed import WorkSample
from liftrill.gateway.engines.engine_table import EngineLoad
from liftrill.gateway.engines.prefix_directory import PartLocation, PartStage
from liftrill.gateway.engines.speed_estimator import SpeedRow
from liftrill.gateway.peers.load_exchange import LoadReport, LoadScope
from liftrill.gateway.peers.node_capacity import NodeWord
from liftrill.messages import peer_pb2 as messages

SCOPES = {
    LoadScope.NODE: messages.NODE,
    LoadScope.ZONE_SUM: messages.ZONE_SUM,
    LoadScope.RELAYED_SUM: messages.RELAYED_SUM,
    LoadScope.GROUP_SUM: messages.GROUP_SUM,
}
SCOPES_BY_NUMBER = {number: scope for scope, number in SCOPES.items()}
# What one datagram may hold of each, so that it stays under 1,200 bytes: a row of load takes
# 40 bytes with an id of 12 letters, a kept part 18, and a tenant's spending 24 with a name of
# 15 letters (worked out from the wire format).
LOADS_PER_PIECE = 14
KEPT_PER_PIECE = 24
TENANTS_PER_PIECE = 6
# A row of speed takes 30 bytes (worked out from the wire format), and each counts by itself.
SPEEDS_PER_PIECE = 32
HUNDREDTHS = 100
MILLISECONDS = 1_000
MILLICORES = 1_000
KILOBYTE = 1_024

Row = TypeVar("Row")


def datagrams_from_report(report: LoadReport, sequence: int) -> list[messages.Datagram]:
    """Return the datagrams that carry a report, each small enough to arrive."""
    if report.speeds:
        return [
            _speed_datagram(report, rows) for rows in _cut(list(report.speeds), SPEEDS_PER_PIECE)
        ]
    quota = report.quota or QuotaReport(0)
    loads = _cut(list(report.loads.items()), LOADS_PER_PIECE)
    kept = _cut(list(report.kept), KEPT_PER_PIECE)
    spent = _cut(list(quota.spent.items()), TENANTS_PER_PIECE)
    rows = list(itertools.zip_longest(loads, kept, spent)) or [(None, None, None)]
    datagrams = [
        _datagram(report, quota.nodes, some_loads or [], some_kept or [], some_spent or [])
        for some_loads, some_kept, some_spent in rows
    ]
    if report.node_word is not None:
        datagrams[0].node_load.CopyFrom(_load_from_word(report.node_word))
    if len(datagrams) > 1:
        for piece, datagram in enumerate(datagrams):
            datagram.sequence = sequence
            datagram.piece = piece
            datagram.pieces = len(datagrams)
    return datagrams


def _cut(rows: list[Row], size: int) -> Iterator[list[Row]]:
    return (rows[start : start + size] for start in range(0, len(rows), size))


def _datagram(
    report: LoadReport,
    quota_nodes: int,
    loads: list[tuple[str, EngineLoad]],
    kept: list[PartLocation],
    spent: list[tuple[str, float]],
) -> messages.Datagram:
    rows = [
        messages.EngineLoad(
            engine_id=engine_id,
            requests=load.requests,
            waiting_tokens=load.waiting_tokens,
            resident_tokens=load.resident_tokens,
            engine=load.number,
            body_kilobytes=load.body_kilobytes,
        )
        for engine_id, load in loads
    ]
    # Without a row it would not be known for a report: a node without load says so too.
    return messages.Datagram(
        sender=report.node,
        zone=report.zone,
        load_scope=SCOPES[report.scope],
        loads=rows or [messages.EngineLoad()],
        kept_parts=[part.part for part in kept],
        kept_by=[part.engine for part in kept],
        being_read=[part.stage is PartStage.BEING_READ for part in kept],
        held_alone=[part.stage is PartStage.HELD for part in kept],
        spent=[messages.TenantSpending(tenant=t, amount=a) for t, a in spent],
        spent_by_nodes=quota_nodes,
    )


def report_from_message(message: messages.Datagram) -> LoadReport:
    """Return the report, or the piece of one, that a datagram carries."""
    loads = {
        row.engine_id: EngineLoad(
            row.requests,
            row.waiting_tokens,
            row.resident_tokens,
            row.body_kilobytes,
            row.engine,
        )
        for row in message.loads
        if row.engine_id
    }
    scope = SCOPES_BY_NUMBER.get(message.load_scope, LoadScope.NODE)
    # A node of an older version tells the parts alone.
    rows = itertools.zip_longest(
        message.kept_parts,
        message.kept_by,
        message.being_read,
        message.held_alone,
        fillvalue=0,
    )
    kept = tuple(PartLocation(part, engine, _stage(*flags)) for part, engine, *flags in rows)
    quota = _quota(message) if message.spent_by_nodes else None
    word = _word_from_load(message.node_load) if message.HasField("node_load") else None
    return LoadReport(scope, message.sender, message.zone, loads, kept, quota, node_word=word)


def _load_from_word(word: NodeWord) -> messages.NodeLoad:
    return messages.NodeLoad(
        capacity=round(word.capacity_cores * MILLICORES),
        used=round(word.used_cores * MILLICORES),
        lag_milliseconds=round(word.late_s * MILLISECONDS),
        free_kilobytes=word.free_bytes // KILOBYTE,
    )


def _word_from_load(message: messages.NodeLoad) -> NodeWord:
    return NodeWord(
        message.capacity / MILLICORES,
        message.used / MILLICORES,
        message.lag_milliseconds / MILLISECONDS,
        message.free_kilobytes * KILOBYTE,
    )


def _speed_datagram(report: LoadReport, rows: list[SpeedRow]) -> messages.Datagram:
    return messages.Datagram(
        sender=report.node,
        zone=report.zone,
        load_scope=SCOPES[report.scope],
        speeds=[_speed_message(row) for row in rows],
    )


def _speed_message(row: SpeedRow) -> messages.EngineSpeed:
    return messages.EngineSpeed(
        engine=row.engine,
        read_tokens=round(row.reading.units),
        read_milliseconds=round(MILLISECONDS * row.reading.seconds),
        pause_tokens=row.pause_tokens,
        answers=round(HUNDREDTHS * row.answers.units),
        answer_milliseconds=round(MILLISECONDS * row.answers.seconds),
    )


def speeds_from_message(message: messages.Datagram) -> LoadReport:
    """Return what a datagram tells of engines' speed."""
    rows = tuple(
        SpeedRow(
            row.engine,
            WorkSample(row.read_tokens, row.read_milliseconds / MILLISECONDS),
            WorkSample(row.answers / HUNDREDTHS, row.answer_milliseconds / MILLISECONDS),
            row.pause_tokens,
        )
        for row in message.speeds
    )
    scope = SCOPES_BY_NUMBER.get(message.load_scope, LoadScope.NODE)
    return LoadReport(scope, message.sender, message.zone, {}, speeds=rows)


def _quota(message: messages.Datagram) -> QuotaReport:
    spent = {row.tenant: row.amount for row in message.spent}
    return QuotaReport(message.spent_by_nodes, spent)


def _stage(being_read: int, held_alone: int) -> PartStage:
    if being_read:
        return PartStage.BEING_READ
    return PartStage.HELD if held_alone else PartStage.SAVED


@dataclass(frozen=True, slots=True)
class _Origin:
    """Of whom a report is, and who sent it."""

    sender: str
    zone: str
    scope: int


@dataclass(slots=True)
class _Pieces:
    """What came so far of one report."""

    sequence: int
    found: dict[int, LoadReport] = field(default_factory=dict)


@dataclass(slots=True)
class ReportAssembler:
    """Puts reports together again; of each origin only the newest is waited for."""

    _open: dict[_Origin, _Pieces] = field(default_factory=dict)

    def take(self, message: messages.Datagram) -> LoadReport | None:
        """Return the report that a datagram completes, or None."""
        report = report_from_message(message)
        if message.pieces <= 1:
            return report
        origin = _Origin(message.sender, message.zone, message.load_scope)
        pieces = self._open.get(origin)
        if pieces is None or pieces.sequence != message.sequence:
            pieces = self._open[origin] = _Pieces(message.sequence)
        pieces.found[message.piece] = report
        if len(pieces.found) < message.pieces:
            return None
        del self._open[origin]
        return _joined(list(pieces.found.values()))


def _joined(pieces: list[LoadReport]) -> LoadReport:
    first = pieces[0]
    loads: dict[str, EngineLoad] = {}
    spent: dict[str, float] = {}
    for piece in pieces:
        loads.update(piece.loads)
        spent.update(piece.quota.spent if piece.quota else {})
    kept = tuple(itertools.chain.from_iterable(piece.kept for piece in pieces))
    quota = QuotaReport(first.quota.nodes, spent) if first.quota else None
    word = next((piece.node_word for piece in pieces if piece.node_word is not None), None)
    return LoadReport(first.scope, first.node, first.zone, loads, kept, quota, node_word=word)
