"""Which engines may go on with a stream that a caller takes up."""
