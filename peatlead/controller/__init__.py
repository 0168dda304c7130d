"""One controller: submits events to the planner and carries out its commands."""
