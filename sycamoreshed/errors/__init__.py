"""Error kinds and the answers they become."""
