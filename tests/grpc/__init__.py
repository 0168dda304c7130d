"""Tests of `peatlead.grpc`."""

from .. import places  # noqa: F401 - loads the profile of property tests
