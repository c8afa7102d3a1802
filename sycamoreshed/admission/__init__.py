"""Deciding which requests may start, and when."""
