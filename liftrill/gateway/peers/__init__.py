"""Exchange of state between nodes: load, capacity, engine notices and membership."""
