"""Errors of simulations."""


class SimulationError(RuntimeError):
    """Base class of the errors of a simulation."""


class SimulationStuckError(SimulationError):
    """A callback used the CPU for too long; the message contains the callback."""


class ProcessFailedError(SimulationError):
    """A simulated process raised an exception that was not handled."""
