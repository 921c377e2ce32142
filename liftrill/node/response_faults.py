"""Logs and counts responses of others that do not follow HTTP/1.1."""

from liftrill import clock, constants
from liftrill.coordination.token_bucket import TokenBucket
from liftrill.guarded_connection import ResponseFault
from liftrill.node.logs import log_change
from liftrill.node.metrics import NodeMetrics


class ResponseFaultLog:
    """Counts each fault, and logs as many as the limit on log lines allows."""

    def __init__(self, metrics: NodeMetrics) -> None:
        self._metrics = metrics
        rate = constants.LOG_FAILURE_LINES_PER_SECOND
        self._lines = TokenBucket(rate, 2.0 * rate)

    def report(self, fault: ResponseFault) -> None:
        """Count a fault, and log it."""
        self._metrics.response_faults.inc()
        if self._lines.try_take(1.0, clock.now_s()) > 0.0:
            return
        log_change(
            "response_fault",
            address=fault.address,
            reason=fault.reason,
            after_end_s=fault.after_end_s,
        )
