"""The daemon: adaptors around the sans-IO parts. All I/O and all tasks are here."""
