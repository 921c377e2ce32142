"""Engine state known to a node, and the choice of the engine for a request."""
