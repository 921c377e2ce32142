"""Encodes load reports into datagrams and decodes them.

A report of a large zone does not fit one datagram, and datagrams larger than a network packet are
lost. So such a report is split into pieces, and is applied once all pieces have arrived.
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
from liftrill.gateway.peers.node_capacity import NodeLoad
from liftrill.messages import peer_pb2 as messages

SCOPES = {
    LoadScope.NODE: messages.NODE,
    LoadScope.ZONE_SUM: messages.ZONE_SUM,
    LoadScope.RELAYED_SUM: messages.RELAYED_SUM,
    LoadScope.GROUP_SUM: messages.GROUP_SUM,
}
SCOPES_BY_NUMBER = {number: scope for scope, number in SCOPES.items()}
# Maximum rows of each kind in one datagram, which then stays under 1,200 bytes: encoded, a load row
# takes 40 bytes with an id of 12 letters, a part location 18, and a tenant's spending 24 with a
# name of 15 letters.
LOADS_PER_DATAGRAM = 14
PARTS_PER_DATAGRAM = 24
TENANTS_PER_DATAGRAM = 6
# A speed row takes 30 bytes encoded. Each row is applied by itself, without waiting for the others.
SPEEDS_PER_DATAGRAM = 32
HUNDREDTHS_PER_ANSWER = 100
MS_PER_S = 1_000
MILLICORES_PER_CORE = 1_000
BYTES_PER_KILOBYTE = 1_024

Row = TypeVar("Row")


def datagrams_from_report(report: LoadReport, sequence: int) -> list[messages.Datagram]:
    """Return the datagrams that carry a report, each smaller than a network packet."""
    if report.speeds:
        return [
            _speed_datagram(report, rows)
            for rows in _chunks(list(report.speeds), SPEEDS_PER_DATAGRAM)
        ]
    quota = report.quota or QuotaReport(0)
    loads = _chunks(list(report.loads.items()), LOADS_PER_DATAGRAM)
    part_locations = _chunks(list(report.part_locations), PARTS_PER_DATAGRAM)
    spent = _chunks(list(quota.spent.items()), TENANTS_PER_DATAGRAM)
    rows = list(itertools.zip_longest(loads, part_locations, spent)) or [(None, None, None)]
    datagrams = [
        _datagram(report, quota.nodes, some_loads or [], some_locations or [], some_spent or [])
        for some_loads, some_locations, some_spent in rows
    ]
    if report.node_load is not None:
        datagrams[0].node_load.CopyFrom(_message_from_load(report.node_load))
    if len(datagrams) > 1:
        for piece, datagram in enumerate(datagrams):
            datagram.sequence = sequence
            datagram.piece = piece
            datagram.pieces = len(datagrams)
    return datagrams


def _chunks(rows: list[Row], size: int) -> Iterator[list[Row]]:
    return (rows[start : start + size] for start in range(0, len(rows), size))


def _datagram(
    report: LoadReport,
    quota_nodes: int,
    loads: list[tuple[str, EngineLoad]],
    part_locations: list[PartLocation],
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
    # Receivers recognize a report by its load rows, so a report without load has one empty row.
    return messages.Datagram(
        sender=report.node,
        zone=report.zone,
        load_scope=SCOPES[report.scope],
        loads=rows or [messages.EngineLoad()],
        kept_parts=[part.part for part in part_locations],
        kept_by=[part.engine for part in part_locations],
        being_read=[part.stage is PartStage.BEING_PREFILLED for part in part_locations],
        held_alone=[part.stage is PartStage.HELD for part in part_locations],
        spent=[messages.TenantSpending(tenant=t, amount=a) for t, a in spent],
        spent_by_nodes=quota_nodes,
    )


def report_from_message(message: messages.Datagram) -> LoadReport:
    """Return the report, or the piece of a report, that a datagram carries."""
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
    # A node of an older version sends kept_parts without the lists that go with it.
    rows = itertools.zip_longest(
        message.kept_parts,
        message.kept_by,
        message.being_read,
        message.held_alone,
        fillvalue=0,
    )
    part_locations = tuple(
        PartLocation(part, engine, _stage(*flags)) for part, engine, *flags in rows
    )
    quota = _quota(message) if message.spent_by_nodes else None
    node_load = _load_from_message(message.node_load) if message.HasField("node_load") else None
    return LoadReport(
        scope, message.sender, message.zone, loads, part_locations, quota, node_load=node_load
    )


def _message_from_load(load: NodeLoad) -> messages.NodeLoad:
    return messages.NodeLoad(
        capacity=round(load.capacity_cores * MILLICORES_PER_CORE),
        used=round(load.used_cores * MILLICORES_PER_CORE),
        lag_milliseconds=round(load.late_s * MS_PER_S),
        free_kilobytes=load.free_bytes // BYTES_PER_KILOBYTE,
    )


def _load_from_message(message: messages.NodeLoad) -> NodeLoad:
    return NodeLoad(
        message.capacity / MILLICORES_PER_CORE,
        message.used / MILLICORES_PER_CORE,
        message.lag_milliseconds / MS_PER_S,
        message.free_kilobytes * BYTES_PER_KILOBYTE,
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
        read_tokens=round(row.prefill.units),
        read_milliseconds=round(MS_PER_S * row.prefill.seconds),
        pause_tokens=row.pause_tokens,
        answers=round(HUNDREDTHS_PER_ANSWER * row.answers.units),
        answer_milliseconds=round(MS_PER_S * row.answers.seconds),
    )


def speeds_from_message(message: messages.Datagram) -> LoadReport:
    """Return the report of engine speeds that a datagram carries."""
    rows = tuple(
        SpeedRow(
            row.engine,
            WorkSample(row.read_tokens, row.read_milliseconds / MS_PER_S),
            WorkSample(row.answers / HUNDREDTHS_PER_ANSWER, row.answer_milliseconds / MS_PER_S),
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
        return PartStage.BEING_PREFILLED
    return PartStage.HELD if held_alone else PartStage.SAVED


@dataclass(frozen=True, slots=True)
class _Origin:
    """The sender of a report, with the zone and the scope that it covers."""

    sender: str
    zone: str
    scope: int


@dataclass(slots=True)
class _PartialReport:
    """The pieces of one report that have arrived so far."""

    sequence: int
    received: dict[int, LoadReport] = field(default_factory=dict)


@dataclass(slots=True)
class ReportAssembler:
    """Reassembles reports from pieces; keeps only the newest incomplete report of each origin."""

    _incomplete: dict[_Origin, _PartialReport] = field(default_factory=dict)

    def add(self, message: messages.Datagram) -> LoadReport | None:
        """Add a datagram, and return the report that it completes, or None."""
        report = report_from_message(message)
        if message.pieces <= 1:
            return report
        origin = _Origin(message.sender, message.zone, message.load_scope)
        pieces = self._incomplete.get(origin)
        if pieces is None or pieces.sequence != message.sequence:
            pieces = self._incomplete[origin] = _PartialReport(message.sequence)
        pieces.received[message.piece] = report
        if len(pieces.received) < message.pieces:
            return None
        del self._incomplete[origin]
        return _merged(list(pieces.received.values()))


def _merged(pieces: list[LoadReport]) -> LoadReport:
    first = pieces[0]
    loads: dict[str, EngineLoad] = {}
    spent: dict[str, float] = {}
    for piece in pieces:
        loads.update(piece.loads)
        spent.update(piece.quota.spent if piece.quota else {})
    part_locations = tuple(itertools.chain.from_iterable(piece.part_locations for piece in pieces))
    quota = QuotaReport(first.quota.nodes, spent) if first.quota else None
    node_load = next((piece.node_load for piece in pieces if piece.node_load is not None), None)
    return LoadReport(
        first.scope, first.node, first.zone, loads, part_locations, quota, node_load=node_load
    )
