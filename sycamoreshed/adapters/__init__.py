"""Clients of external interfaces, one module for each."""
