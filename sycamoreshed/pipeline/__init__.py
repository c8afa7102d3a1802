"""Running a request through its stages."""
