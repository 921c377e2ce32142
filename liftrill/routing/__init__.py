"""Engine selection, request queueing and the attempts of each request; sans-IO."""
