"""Binary protocol of the simulator: framing, records, and their mapping to planner types."""
