"""What a node sheds that is later than the others, sans-IO.

First its connections: answers tell callers to close them, and their next requests go to nodes
that the directory names more often. Then requests that it has just read: these have not run, and
are told when to come back. What runs goes on. A node that is late like all others sheds nothing:
callers would find it no better elsewhere.
"""

from dataclasses import dataclass

# Longer than any pause of the process itself, and a large part of the targets of short requests.
CLOSE_LAG_S = 0.3
# Callers give up what a node has not read after a second, so most of what it reads is gone.
REFUSE_LAG_S = 1.0
# Beats that come late in a row; one alone is a pause and no want of processor time.
MIN_LATE_TICKS = 3
# How much later than the others a node must be, for callers to gain by leaving it.
MIN_LAG_RATIO = 2.0
# Callers come back to another node, mostly: the time only keeps them from coming together.
RETRY_AFTER_RANGE_S = (0.1, 0.4)


@dataclass(slots=True)
class LoadShedder:
    """What this node sheds now.

    Attributes:
        closes: whether callers are told to close their connections.
        refuses: whether requests that were not sent to an engine yet are refused.
    """

    closes_connections: bool = False
    refuses_requests: bool = False

    def update(self, lag_s: float, late_ticks: int, others_lag_s: float) -> bool:
        """Take in how late the loop is and the others are; return whether anything changed."""
        before = (self.closes_connections, self.refuses_requests)
        is_overloaded = late_ticks >= MIN_LATE_TICKS and lag_s > MIN_LAG_RATIO * others_lag_s
        self.closes_connections = is_overloaded and lag_s >= CLOSE_LAG_S
        self.refuses_requests = is_overloaded and lag_s >= REFUSE_LAG_S
        return (self.closes_connections, self.refuses_requests) != before

    def retry_after_s(self, draw: float) -> float:
        """Return when a refused caller is to come back, by a number from 0 to 1."""
        shortest_s, longest_s = RETRY_AFTER_RANGE_S
        return shortest_s + (longest_s - shortest_s) * draw
