"""Scale tests: the coordination code of hundreds of nodes in one process, in virtual time."""
