"""Admission of requests, and the retry times of refused ones."""
