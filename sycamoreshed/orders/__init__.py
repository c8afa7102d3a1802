"""Orders to engines, sent by the holder of a lease."""
