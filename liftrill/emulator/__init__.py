"""Small stand-ins for what liftrill meets: model engines, kept-KV store and platform.

The models are sans-IO and serve both the HTTP stand-ins and virtual time.
"""
