"""Structured logs: one line for each change of state, as JSON on standard error."""

import sys

import eliot


def start_logging() -> None:
    """Send eliot's messages to standard error."""
    eliot.to_file(sys.stderr)


def log_change(message_type: str, **fields: object) -> None:
    """Log one change of state."""
    eliot.log_message(message_type=f"liftrill:{message_type}", **fields)
