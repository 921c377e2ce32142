"""Turns reports of load into datagrams and back."""

import itertools

from liftrill.coordination.quota import QuotaReport
from liftrill.gateway.engine_table import EngineLoad
from liftrill.gateway.load_exchange import LoadReport, LoadScope
from liftrill.gateway.prefix_directory import KeptPart, PartStage
from liftrill.messages import peer_pb2 as messages

SCOPES = {
    LoadScope.NODE: messages.NODE,
    LoadScope.ZONE_SUM: messages.ZONE_SUM,
    LoadScope.RELAYED_SUM: messages.RELAYED_SUM,
}
SCOPES_BY_NUMBER = {number: scope for scope, number in SCOPES.items()}


def message_from_report(report: LoadReport) -> messages.Datagram:
    """Return the datagram that carries a report."""
    rows = [
        messages.EngineLoad(
            engine_id=engine_id,
            requests=load.requests,
            waiting_tokens=load.waiting_tokens,
            resident_tokens=load.resident_tokens,
        )
        for engine_id, load in report.loads.items()
    ]
    quota = report.quota or QuotaReport(0)
    # Without a row the word would not be known for one: a node without load says so too.
    return messages.Datagram(
        sender=report.node,
        zone=report.zone,
        load_scope=SCOPES[report.scope],
        loads=rows or [messages.EngineLoad()],
        kept_parts=[kept.part for kept in report.kept],
        kept_by=[kept.engine for kept in report.kept],
        being_read=[kept.stage is PartStage.BEING_READ for kept in report.kept],
        held_alone=[kept.stage is PartStage.HELD for kept in report.kept],
        spent=[messages.TenantSpending(tenant=t, amount=a) for t, a in quota.spent.items()],
        spent_by_nodes=quota.nodes,
    )


def report_from_message(message: messages.Datagram) -> LoadReport:
    """Return the report that a datagram carries."""
    loads = {
        row.engine_id: EngineLoad(row.requests, row.waiting_tokens, row.resident_tokens)
        for row in message.loads
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
    kept = tuple(KeptPart(part, engine, _stage(*flags)) for part, engine, *flags in rows)
    quota = _quota(message) if message.spent_by_nodes else None
    return LoadReport(scope, message.sender, message.zone, loads, kept, quota)


def _quota(message: messages.Datagram) -> QuotaReport:
    spent = {row.tenant: row.amount for row in message.spent}
    return QuotaReport(message.spent_by_nodes, spent)


def _stage(being_read: int, held_alone: int) -> PartStage:
    if being_read:
        return PartStage.BEING_READ
    return PartStage.HELD if held_alone else PartStage.SAVED
