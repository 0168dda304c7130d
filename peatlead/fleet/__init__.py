"""Several controllers over one fleet of proxies: membership, ownership, and gossip."""
