"""Kept for importers of GRPC: its tests are in tests/controller/test_many_proxies.py."""

from .standin_fleet import GRPC_SCRIPT as GRPC

__all__ = ["GRPC"]
