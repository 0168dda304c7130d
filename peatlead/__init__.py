"""peatlead: a central planner that writes the tables plain proxies follow."""
