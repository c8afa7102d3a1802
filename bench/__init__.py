"""The bench: open-loop load on real daemons before stand-ins."""
