"""What a node holds for callers and engines that read slowly, and its bounds."""
