"""Live entry instances and usable endpoints."""
