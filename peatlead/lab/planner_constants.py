"""The planner's constants by name, for studies that vary them (`module.COVERAGE` in a script).

Constants stand beside their mechanisms, in the modules of `peatlead.planner`. A name is assigned in
one module alone (tests/planner/test_planner.py holds that); others may import it. So a name is
looked up in all of them, and set in each that has it.
"""

import importlib
import pkgutil
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from types import ModuleType
from typing import Any

from .. import planner


def planner_modules() -> list[ModuleType]:
    """All modules of the planner's package."""
    names = [module.name for module in pkgutil.iter_modules(planner.__path__)]
    return [importlib.import_module(f"{planner.__name__}.{name}") for name in names]


def modules_with(constant: str) -> list[ModuleType]:
    """The planner's modules that define or import a constant; ValueError where there is none."""
    found = [module for module in planner_modules() if hasattr(module, constant)]
    if not constant.isupper() or not found:
        raise ValueError(f"the module has no {constant}")
    return found


@contextmanager
def replaced(constants: Mapping[str, Any]) -> Iterator[None]:
    """Give the planner's constants other values for a while, in this process."""
    saved = [
        (module, name, getattr(module, name)) for name in constants for module in modules_with(name)
    ]
    try:
        for module, name, _ in saved:
            setattr(module, name, constants[name])
        yield
    finally:
        for module, name, value in saved:
            setattr(module, name, value)
