"""Endpoint lists (names, zones and phases of endpoints), their sources and their cache."""
