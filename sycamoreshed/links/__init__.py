"""Links to endpoints: which work, and ways through other instances."""
