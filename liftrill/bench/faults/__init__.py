"""Fault tests: load under a seeded schedule of faults, and checks of the recorded history."""
