"""Commands `run` and `check`: run a controller and check its settings file."""

import asyncio
import logging
import os
import signal
import sys
import time
from typing import Optional

import click
import structlog

from ..settings.schema import format_reference
from .common import PLANNERS, Settings, controller_settings, settings_or_exit
from .main import main

EXIT_STOPPED = 0
EXIT_CANNOT_START = 1
EXIT_FAILED = 3  # the controller ended because of an error


def configure_log(log_format: str) -> None:
    """Write one log event per line to standard error, as JSON or as text."""
    renderer: structlog.typing.Processor = structlog.dev.ConsoleRenderer(colors=False)
    if log_format == "json":
        renderer = structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


@main.command()
@click.argument("file", type=click.Path())
@click.option("--name", help="name of this controller in FILE; required if FILE has several")
@click.option(
    "--state", type=click.Path(file_okay=False), help="folder for state that is kept over restarts"
)
@click.option(
    "--planner",
    type=click.Choice(PLANNERS),
    default="shards",
    help="plain is a simple baseline for comparison",
)
@click.option("--log", type=click.Choice(("json", "text")), default="json")
def run(file: str, name: Optional[str], state: Optional[str], planner: str, log: str) -> None:
    """Run a controller until SIGTERM or SIGINT."""
    settings = settings_or_exit(file)
    controller = controller_settings(settings, name)
    configure_log(log)
    sys.exit(asyncio.run(serve(settings, controller["name"], state, planner)))


async def serve(settings: Settings, name: str, state: Optional[str], planner: str) -> int:
    """Run the controller until it ends, and return the exit code of the process."""
    from ..controller.controller import Controller
    from ..planner.planner import Planner
    from ..scenario.plain import PlainPlanner

    logger = structlog.get_logger().bind(steward=name)
    create_planner = {"shards": Planner, "plain": PlainPlanner}[planner]
    controller = Controller(
        settings, name, logger.info, create_planner, state, boot=os.urandom(8), wall_clock=time.time
    )
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, controller.stop)
    try:
        await controller.start()
    except OSError as error:
        logger.error("cannot start", why=str(error))
        return EXIT_CANNOT_START
    return EXIT_STOPPED if await controller.ended == "stopped" else EXIT_FAILED


@main.command()
@click.argument("file", type=click.Path(), required=False)
@click.option(
    "--reference", "show_reference", is_flag=True, help="print a description of every setting"
)
def check(file: Optional[str], show_reference: bool) -> None:
    """Check a settings file; an error has the file, the line and the expected value."""
    if show_reference:
        click.echo(format_reference())
        return
    if file is None:
        raise click.UsageError("expected FILE or --reference")
    settings = settings_or_exit(file)
    click.echo(
        f"{file}: valid settings: {len(settings['steward'])} controllers, "
        f"{len(settings['view'])} views, {settings['dns']['open_views']} open views, "
        f"{len(settings['request_kind'])} request classes"
    )
