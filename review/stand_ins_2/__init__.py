"""Stand-ins of the second review: the platform's store, engines, clients and node processes."""
