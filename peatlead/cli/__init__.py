"""The command line `peatlead`, with one module for each group of commands."""

from . import controller, fleet, lab, queries, scenarios, tables
from .main import main

__all__ = ["controller", "fleet", "lab", "main", "queries", "scenarios", "tables"]
