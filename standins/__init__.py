"""Stand-ins for what surrounds the system; never part of its binary."""
