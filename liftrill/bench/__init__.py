"""Benchmarks and fault tests: load generation, simulation, history checks and reports."""
