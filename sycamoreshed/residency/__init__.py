"""Data residency: the regions in which requests may be served."""
