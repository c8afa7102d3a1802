"""Settings of a daemon, checked at startup."""
