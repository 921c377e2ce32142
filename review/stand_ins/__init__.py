"""Stand-ins of the platform, its store, engines and clients for the cases of this review.

They follow the users' pages and use only what the build of the deploy file installs.
"""
