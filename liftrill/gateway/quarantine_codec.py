"""Encodes and decodes messages about requests that crash engines."""

from collections.abc import Sequence

from liftrill.coordination.crash_evidence import LostRun
from liftrill.gateway.opaque_request import FINGERPRINT_BYTES
from liftrill.gateway.quarantine_list import QuarantineEntry
from liftrill.messages import peer_pb2 as messages

# An encoded run takes at most 38 bytes, so that a datagram stays below 1,200 bytes.
RUNS_PER_DATAGRAM = 30


def datagrams_from_runs(node: str, runs: Sequence[LostRun], now: float) -> list[messages.Datagram]:
    """Return the datagrams that report a node's lost runs, with their ages as of now."""
    batches = [runs[at : at + RUNS_PER_DATAGRAM] for at in range(0, len(runs), RUNS_PER_DATAGRAM)]
    return [
        messages.Datagram(sender=node, lost_runs=[_run_message(run, now) for run in batch])
        for batch in batches
    ]


def runs_from_message(message: messages.Datagram, now: float) -> list[LostRun]:
    """Return the lost runs in a datagram, with times of this node's clock."""
    return [
        LostRun(
            row.fingerprint,
            row.engine,
            row.early,
            now - row.sent_age_milliseconds / 1000,
            now - row.end_age_milliseconds / 1000,
        )
        for row in message.lost_runs
        if len(row.fingerprint) == FINGERPRINT_BYTES
    ]


def datagram_from_entry(entry: QuarantineEntry) -> messages.Datagram:
    """Return the datagram that reports a request in quarantine."""
    notice = messages.QuarantineNotice(fingerprint=entry.fingerprint, record=record_of(entry))
    return messages.Datagram(quarantined=notice)


def entry_from_notice(notice: messages.QuarantineNotice) -> QuarantineEntry | None:
    """Return the entry in a notice, or None if its fingerprint is invalid."""
    if len(notice.fingerprint) != FINGERPRINT_BYTES:
        return None
    return entry_from_record(notice.fingerprint, notice.record)


def record_of(entry: QuarantineEntry) -> messages.QuarantineRecord:
    """Return an entry as a record, which does not contain the fingerprint."""
    return messages.QuarantineRecord(
        until_unix_milliseconds=round(entry.until_unix_s * 1000),
        times=entry.quarantine_count,
        route=entry.route,
        tenant=entry.tenant,
        engines=entry.engines,
    )


def entry_from_record(fingerprint: bytes, record: messages.QuarantineRecord) -> QuarantineEntry:
    """Return the entry of a request that a record describes."""
    return QuarantineEntry(
        fingerprint,
        record.until_unix_milliseconds / 1000,
        max(1, record.times),
        record.route,
        record.tenant,
        tuple(record.engines),
    )


def _run_message(run: LostRun, now: float) -> messages.LostRun:
    return messages.LostRun(
        fingerprint=run.fingerprint,
        engine=run.worker,
        early=run.early,
        sent_age_milliseconds=max(0, round((now - run.sent_at) * 1000)),
        end_age_milliseconds=max(0, round((now - run.ended_at) * 1000)),
    )
