"""Access to the planner's constants by name, for studies that vary them.

A study's script refers to the constant COVERAGE as `module.COVERAGE`. Constants are defined in the
modules of `peatlead.planner`. Each name is assigned in only one module, which
tests/planner/test_planner.py checks, but other modules may import it. Therefore a new value is set
in every module that has the name.
"""

import importlib
import pkgutil
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from types import ModuleType
from typing import Any

from .. import planner


def planner_modules() -> list[ModuleType]:
    """Return all modules of the planner's package."""
    names = [module.name for module in pkgutil.iter_modules(planner.__path__)]
    return [importlib.import_module(f"{planner.__name__}.{name}") for name in names]


def modules_with_constant(constant: str) -> list[ModuleType]:
    """Return the planner's modules that define or import a constant.

    Raises ValueError if there is none.
    """
    modules = [module for module in planner_modules() if hasattr(module, constant)]
    if not constant.isupper() or not modules:
        raise ValueError(f"the planner has no constant {constant}")
    return modules


@contextmanager
def replaced_constants(constants: Mapping[str, Any]) -> Iterator[None]:
    """Replace values of the planner's constants in this process, within the context."""
    saved = [
        (module, name, getattr(module, name))
        for name in constants
        for module in modules_with_constant(name)
    ]
    try:
        for module, name, _ in saved:
            setattr(module, name, constants[name])
        yield
    finally:
        for module, name, value in saved:
            setattr(module, name, value)
