"""Functions that several commands use: reading settings files and querying a controller."""

import asyncio
from typing import Any, Optional

import click

from ..settings import SettingsError, read_settings

Settings = dict[str, Any]  # checked settings of a settings file or a day script
Answer = dict[str, Any]  # a controller's answer, decoded from JSON
PLANNERS = ("shards", "plain")  # peatlead's planner and the baseline


def settings_or_exit(path: str) -> Settings:
    """Return the checked settings of a file. Raises ClickException if they are not valid."""
    try:
        settings: Settings = read_settings(path)
    except SettingsError as error:
        raise click.ClickException(str(error)) from None
    return settings


def controller_settings(settings: Settings, name: Optional[str]) -> Settings:
    """Return the settings of a controller; without a name, of the only controller.

    Raises ClickException if the settings have no such controller.
    """
    controllers: list[Settings] = settings["steward"]
    names = [controller["name"] for controller in controllers]
    if name is None and len(names) == 1:
        return controllers[0]
    if name not in names:
        raise click.ClickException(f"--name: expected one of {', '.join(names)}, got {name!r}")
    return controllers[names.index(name)]


def query_controller(file: str, name: Optional[str], query: Settings) -> Answer:
    """Return a running controller's answer to a query.

    Raises ClickException if the controller does not answer or answers with an error.
    """
    from ..controller.control_socket import ask_once

    controller = controller_settings(settings_or_exit(file), name)
    try:
        answer: Answer = asyncio.run(ask_once(controller["control"], query))
    except (TimeoutError, OSError) as error:
        raise click.ClickException(
            f"controller {controller['name']} at {controller['control']}: {error or 'no answer'}"
        ) from None
    if "error" in answer:
        raise click.ClickException(answer["error"])
    return answer
