"""Small models of the core protocols, checked exhaustively with minicheck."""
