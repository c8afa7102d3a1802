"""Settings of one daemon, checked on start."""
