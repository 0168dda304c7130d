"""Measurements as commands: what they print is kept in docs/results/."""
