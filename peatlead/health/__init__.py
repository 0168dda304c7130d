"""Endpoint health: active probes and the request counts that endpoints report."""
