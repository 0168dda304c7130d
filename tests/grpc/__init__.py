"""Tests of `peatlead.grpc`."""

from .. import standin_fleet  # noqa: F401 - loads the hypothesis profile
