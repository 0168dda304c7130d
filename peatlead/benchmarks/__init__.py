"""Benchmark programs. Their results are recorded in docs/results/."""
