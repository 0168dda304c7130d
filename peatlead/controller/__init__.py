"""One steward: it tells the planner what happens and does what the planner decides."""
