"""Ways from this instance to endpoints: its own links, or other instances."""
