"""Emulators of the systems around liftrill: model engines, the kept-KV store and the platform.

The models are sans-IO, and both the HTTP emulators and simulations in virtual time use them.
"""
