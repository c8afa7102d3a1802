"""The interface towards callers."""
