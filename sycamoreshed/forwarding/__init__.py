"""Forwarding of requests to endpoints and of the answers to callers."""
