"""Hollow nodes: the real coordination code of hundreds of nodes in one process."""
