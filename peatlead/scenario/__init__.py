"""Scenarios: scripts that define a fleet, its traffic and its faults, and a driver that plays them.

A day is the run of one scenario; the scripts are called day scripts.
"""
