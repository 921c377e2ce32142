"""Load shedding on a node whose event loop lags behind those of the other nodes, sans-IO.

First the node sheds connections: its answers ask callers to close them, and their next requests
go to nodes that the directory returns more often. Then it refuses requests that it has just read
and not run, with a time to retry after. Running requests continue. A node that lags no more than
the others sheds nothing, since callers would be served no better elsewhere.
"""

from dataclasses import dataclass

# Longer than any pause that the process itself causes, and a large part of the latency target of
# short requests.
CLOSE_LAG_S = 0.3
# Callers abandon requests that a node has not read within a second, so at this lag most requests
# that it reads are already abandoned.
REFUSE_LAG_S = 1.0
# Consecutive late ticks; a single one is a pause, not a shortage of processor time.
MIN_LATE_TICKS = 3
# Minimum ratio to the lag of the other nodes; below it callers gain nothing by moving away.
MIN_LAG_RATIO = 2.0
# Most callers retry at another node; the delay is random only to spread their retries.
RETRY_AFTER_RANGE_S = (0.1, 0.4)


@dataclass(slots=True)
class LoadShedder:
    """Decides what this node sheds.

    Attributes:
        closes_connections: whether answers ask callers to close their connections.
        refuses_requests: whether requests that were not sent to an engine yet are refused.
    """

    closes_connections: bool = False
    refuses_requests: bool = False

    def update(self, lag_s: float, late_ticks: int, others_lag_s: float) -> bool:
        """Update from the lag of this node and of the others; return whether a decision changed."""
        before = (self.closes_connections, self.refuses_requests)
        is_overloaded = late_ticks >= MIN_LATE_TICKS and lag_s > MIN_LAG_RATIO * others_lag_s
        self.closes_connections = is_overloaded and lag_s >= CLOSE_LAG_S
        self.refuses_requests = is_overloaded and lag_s >= REFUSE_LAG_S
        return (self.closes_connections, self.refuses_requests) != before

    def retry_after_s(self, draw: float) -> float:
        """Return the retry delay of a refused caller, for a random number from 0 to 1."""
        shortest_s, longest_s = RETRY_AFTER_RANGE_S
        return shortest_s + (longest_s - shortest_s) * draw
