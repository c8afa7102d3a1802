"""Error kinds and the HTTP answers for them."""
