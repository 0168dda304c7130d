"""Versioned tables: the published history of each proxy, its log on disk, and pins."""
