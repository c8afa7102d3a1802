"""One narrow module for each outside interface."""
