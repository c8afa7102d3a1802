"""What connections make a process keep, and what of it is taken for HTTP."""
