"""Versioned tables: what each proxy was published, on disk too, and pins to past versions."""
