"""Coordination components that other programs can embed.

The modules here do no I/O, read no clock and use no global random source: the time is an
argument (seconds, as a float), and effects are return values.
"""
