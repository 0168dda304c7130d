"""All decisions of one controller: `Planner.decide(now, events) -> orders`."""
