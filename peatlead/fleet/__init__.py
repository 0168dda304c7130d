"""Cooperation of several controllers that share proxies: membership, ownership and gossip."""
