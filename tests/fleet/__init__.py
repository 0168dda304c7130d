"""Tests of `peatlead.fleet`."""

from .. import standin_fleet  # noqa: F401 - loads the hypothesis profile
