"""The daemon: adapters around the sans-IO modules, with all I/O and all tasks."""
