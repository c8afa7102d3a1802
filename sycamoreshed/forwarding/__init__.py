"""Passing a request on to an endpoint and its answer back."""
