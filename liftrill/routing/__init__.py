"""Which engine serves a request, and what becomes of each attempt; sans-IO."""
