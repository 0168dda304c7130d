"""One controller: submits events to the planner and executes its commands."""
