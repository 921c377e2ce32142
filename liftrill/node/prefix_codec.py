"""Conversion between prefix reports and protobuf messages."""

from collections.abc import Iterable

from liftrill.cache.home import AgedHolder, PrefixReport
from liftrill.messages import peer_pb2 as messages


def exchange_message(node_id: str, reports: Iterable[PrefixReport]) -> messages.PrefixExchange:
    """Return the message of a node's reports."""
    return messages.PrefixExchange(
        node_id=node_id, reports=[_report_message(report) for report in reports]
    )


def reports_from_message(message: messages.PrefixExchange) -> list[PrefixReport]:
    """Return the reports of a message."""
    return [_report_from_message(report) for report in message.reports]


def _report_message(report: PrefixReport) -> messages.PrefixReport:
    return messages.PrefixReport(
        name=report.name,
        rate=report.rate,
        kept_age_seconds=report.kept_age,
        holders=[
            messages.PrefixHolder(
                engine_id=holder.engine_id,
                incarnation=holder.incarnation,
                age_seconds=holder.age,
            )
            for holder in report.holders
        ],
    )


def _report_from_message(message: messages.PrefixReport) -> PrefixReport:
    holders = tuple(
        AgedHolder(holder.engine_id, holder.incarnation, holder.age_seconds)
        for holder in message.holders
    )
    kept_age = message.kept_age_seconds if message.HasField("kept_age_seconds") else None
    return PrefixReport(message.name, message.rate, holders, kept_age)
