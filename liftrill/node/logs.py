"""Structured logging: one JSON line on standard error for each state change."""

import sys

import eliot


def start_logging() -> None:
    """Write eliot's messages to standard error."""
    eliot.to_file(sys.stderr)


def log_change(message_type: str, **fields: object) -> None:
    """Log a state change with its fields."""
    eliot.log_message(message_type=f"liftrill:{message_type}", **fields)
