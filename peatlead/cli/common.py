"""What several commands share: settings files and questions to a running controller."""

import asyncio
from typing import Any, Optional

import click

from ..settings import SettingsError, read_settings

Settings = dict[str, Any]  # a settings file or a day script, checked
Answer = dict[str, Any]  # what a controller answered, as JSON
PLANNERS = ("shards", "plain")


def settings_or_exit(path: str) -> Settings:
    """The checked settings of a file; one that is unusable ends the command with a message."""
    try:
        settings: Settings = read_settings(path)
    except SettingsError as problem:
        raise click.ClickException(str(problem)) from None
    return settings


def controller_settings(settings: Settings, name: Optional[str]) -> Settings:
    """The part of the settings that describes one controller, by name or the only one."""
    controllers: list[Settings] = settings["steward"]
    names = [controller["name"] for controller in controllers]
    if name is None and len(names) == 1:
        return controllers[0]
    if name not in names:
        raise click.ClickException(f"--name: expected one of {', '.join(names)}, got {name!r}")
    return controllers[names.index(name)]


def ask(file: str, name: Optional[str], question: Settings) -> Answer:
    """A running controller's answer; no answer or an error ends the command with one line."""
    from ..controller.control_socket import ask_once

    controller = controller_settings(settings_or_exit(file), name)
    try:
        answer: Answer = asyncio.run(ask_once(controller["control"], question))
    except (TimeoutError, OSError) as problem:
        raise click.ClickException(
            f"steward {controller['name']} at {controller['control']}: {problem or 'no answer'}"
        ) from None
    if "error" in answer:
        raise click.ClickException(answer["error"])
    return answer
