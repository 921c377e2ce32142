"""Load under a seeded schedule of faults, and checkers over the recorded history."""
