"""Errors of simulations."""


class SimulationError(RuntimeError):
    """Base of the errors of a simulation."""


class SimulationStuckError(SimulationError):
    """A callback used the CPU for too long without yielding; the text names it."""


class ProcessFailedError(SimulationError):
    """A simulated process has raised an exception that nothing handled."""
