"""Local copies of the routes, teams and endpoints in the store."""
