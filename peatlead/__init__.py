"""A control service that publishes weighted endpoint tables to proxies and DNS clients."""
