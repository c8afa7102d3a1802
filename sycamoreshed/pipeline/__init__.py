"""Execution of admitted requests, stage by stage."""
