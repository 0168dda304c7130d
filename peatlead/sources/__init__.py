"""Endpoint lists: the names, zones and phases of endpoints, and where they come from."""
