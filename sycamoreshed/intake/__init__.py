"""What connections make a process keep before a handler reads it."""
