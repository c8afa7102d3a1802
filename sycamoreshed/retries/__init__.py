"""Requests that are sent to endpoints more than once, and how often."""
