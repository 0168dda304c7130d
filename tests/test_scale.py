"""Re-exports GRPC_SCRIPT; the tests at scale are in tests/controller/test_many_proxies.py."""

from .standin_fleet import GRPC_SCRIPT

__all__ = ["GRPC_SCRIPT"]
