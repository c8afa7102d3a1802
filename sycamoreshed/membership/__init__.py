"""Which instances and endpoints are alive."""
