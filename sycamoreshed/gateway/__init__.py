"""The daemon that forwards requests by route."""
