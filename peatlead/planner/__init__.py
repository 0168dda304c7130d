"""All decisions of one controller: `planner.Planner.decide(now, events) -> commands`."""
