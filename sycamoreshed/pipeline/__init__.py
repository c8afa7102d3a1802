"""Execution of requests, stage by stage."""
