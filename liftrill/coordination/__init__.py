"""Coordination parts that other programs can embed.

Nothing here does I/O, reads a clock or draws from a global random source: time comes in
as an argument (seconds, as a float) and effects go out as return values.
"""
