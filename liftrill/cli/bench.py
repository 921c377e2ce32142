"""`liftrill bench`: measurements."""


def overhead() -> None:
    """Measure what a node adds to an engine called directly."""
