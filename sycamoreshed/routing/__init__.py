"""Choosing an endpoint for a stage."""
