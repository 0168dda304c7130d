"""Probes of hosts, and what hosts tell of the reqs that came to them."""
