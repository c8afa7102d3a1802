"""Interfaces for callers, operators and peers, and the daemon."""
