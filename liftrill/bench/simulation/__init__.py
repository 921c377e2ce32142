"""Simulation of routing policies in virtual time, with the same arrivals for each policy."""
