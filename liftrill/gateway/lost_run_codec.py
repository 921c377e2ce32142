"""Turns runs under which engines ended into datagrams and back."""

from liftrill.coordination.crash_evidence import LostRun
from liftrill.messages import peer_pb2 as messages

# A run takes 36 bytes at most (worked out from the wire format): a datagram stays under 1,200.
RUNS_PER_DATAGRAM = 30


def datagrams_from_runs(runs: list[LostRun], now: float) -> list[messages.Datagram]:
    """Return datagrams that tell of some runs, with ages as of now."""
    cuts = range(0, len(runs), RUNS_PER_DATAGRAM)
    return [
        messages.Datagram(lost_runs=[_message(r, now) for r in runs[at : at + RUNS_PER_DATAGRAM]])
        for at in cuts
    ]


def runs_from_message(message: messages.Datagram, now: float) -> list[LostRun]:
    """Return the runs that a datagram tells of, by this node's clock."""
    return [
        LostRun(
            row.fingerprint,
            row.engine,
            row.early,
            now - row.sent_age_milliseconds / 1000,
            now - row.end_age_milliseconds / 1000,
        )
        for row in message.lost_runs
    ]


def _message(run: LostRun, now: float) -> messages.LostRun:
    return messages.LostRun(
        fingerprint=run.fingerprint,
        engine=run.worker,
        early=run.early,
        sent_age_milliseconds=round((now - run.sent_at) * 1000),
        end_age_milliseconds=round((now - run.ended_at) * 1000),
    )
