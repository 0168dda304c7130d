"""Tests of `peatlead.fleet`."""

from .. import places  # noqa: F401 - loads the profile of property tests
