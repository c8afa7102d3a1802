"""Routes, teams and endpoints that others decide on and we follow."""
