"""Kept for importers of GRPC_SCRIPT: its tests are in tests/controller/test_many_proxies.py."""

from .standin_fleet import GRPC_SCRIPT

__all__ = ["GRPC_SCRIPT"]
