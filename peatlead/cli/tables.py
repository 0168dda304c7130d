"""Commands `tables ...`: versions of published tables, pins and rollbacks."""

import asyncio
import time
from collections.abc import Callable
from datetime import datetime
from typing import Any, Optional

import click

from .common import Answer, controller_settings, settings_or_exit
from .main import main

Command = Callable[..., None]


@main.group()
def tables() -> None:
    """Show the versions of published tables, and pin tables or roll them back."""


CONTROLLER_OPTION = click.option(
    "--name", help="controller in FILE to query; by default the first that answers"
)


def query_tables(
    file: str, name: Optional[str], action: str, ask_all: bool = False, **args: Any
) -> dict[str, Answer]:
    """Return the answers of controllers, by name.

    The controllers of a fleet exchange their pins, so the first answer suffices unless `ask_all` is
    set. Controllers that are not in a fleet are all queried. Raises ClickException if no controller
    answers.
    """
    settings = settings_or_exit(file)
    names = [entry["name"] for entry in settings["steward"]]
    if name:
        names = [controller_settings(settings, name)["name"]]
    first_answer_suffices = settings["steward"][0]["peer"] is not None and not ask_all
    answers: dict[str, Answer] = {}
    failures = []
    for controller in names:
        try:
            answers[controller] = query_controller_tables(settings, controller, action, args)
        except click.ClickException as error:
            failures.append(f"controller {controller}: {error.message}")
            continue
        if first_answer_suffices:
            break
    if not answers:
        raise click.ClickException("; ".join(failures))
    for failure in failures:
        click.echo(failure, err=True)
    return answers


def query_controller_tables(settings: Answer, controller: str, action: str, args: Answer) -> Answer:
    """Return one controller's answer. Raises ClickException if there is none or it is an error."""
    from ..controller.control_socket import ask_once

    address = controller_settings(settings, controller)["control"]
    query = {"ask": "tables", "do": action, "args": args}
    try:
        answer: Answer = asyncio.run(ask_once(address, query))
    except (TimeoutError, OSError) as error:
        raise click.ClickException(str(error) or "no answer") from None
    if "error" in answer:
        raise click.ClickException(answer["error"])
    return answer


def parse_time(text: str) -> float:
    """Return the Unix time in seconds of HH:MM or HH:MM:SS today, or of a date and time (ISO 8601).

    Times without a UTC offset are local times. Raises click.BadParameter for another format.
    """
    for time_format in ("%H:%M", "%H:%M:%S"):
        try:
            parsed = datetime.strptime(text, time_format)
        except ValueError:
            continue
        today = datetime.now()
        return datetime.combine(today.date(), parsed.time()).timestamp()
    try:
        return datetime.fromisoformat(text).timestamp()
    except ValueError:
        raise click.BadParameter(
            f"expected HH:MM, HH:MM:SS or a date and time, got {text!r}"
        ) from None


def format_time(seconds: float) -> str:
    """Format a Unix time as a local time with milliseconds."""
    return datetime.fromtimestamp(seconds).strftime("%H:%M:%S.%f")[:-3]


@tables.command(name="log")
@click.argument("file", type=click.Path())
@click.argument("proxy", required=False)
@click.option("--since", help="HH:MM[:SS] or a date and time")
@click.option("--until", help="HH:MM[:SS] or a date and time")
@click.option("--most", type=int, default=50)
@CONTROLLER_OPTION
def tables_log(
    file: str,
    proxy: Optional[str],
    since: Optional[str],
    until: Optional[str],
    most: int,
    name: Optional[str],
) -> None:
    """List published versions with their times, numbers of changes and causes, newest last."""
    args = {
        "proxy": proxy,
        "most": most,
        "since": since and parse_time(since),
        "until": until and parse_time(until),
    }
    for controller, answer in query_tables(file, name, "log", not name, **args).items():
        for version in answer["versions"]:
            click.echo(
                f"{format_time(version['at'])} {controller} {version['proxy']} "
                f"{version['version']}: {version['changes']} changes: "
                f"{'; '.join(version['causes']) or 'cause unknown'}"
            )
        if answer["more"]:
            click.echo(f"{controller}: {answer['more']} older versions not shown (see --most)")


def format_item(item: Answer) -> str:
    """Return an item's name, with its endpoint and zone if it has them."""
    if "host" not in item:
        return str(item["item"])
    return f"{item['item']} {item['host']} ({item['zone']})"


@tables.command(name="show")
@click.argument("file", type=click.Path())
@click.argument("proxy")
@click.option("--version", help="EPOCH.SERIAL; by default the newest")
@CONTROLLER_OPTION
def tables_show(file: str, proxy: str, version: Optional[str], name: Optional[str]) -> None:
    """Show the tables of a proxy or view in one version."""
    answers = query_tables(file, name, "show", not name, proxy=proxy, version=version)
    for answer in answers.values():
        pinned = f", pinned by {answer['pinned by']}" if answer["pinned by"] else ""
        click.echo(f"{answer['proxy']} {answer['version']}, digest {answer['digest']}{pinned}")
        for item in answer["items"]:
            click.echo(f"  {format_item(item)}: {item['value']}")


def print_changes(changes: list[Answer]) -> None:
    """Print each changed item, with its percentage of the requests if known."""
    for change in changes:
        before, after = change["part before"], change["part after"]
        request_change = ""
        if before is not None or after is not None:
            request_change = (
                f", {100 * (before or 0):.1f}% -> {100 * (after or 0):.1f}% of requests"
            )
        click.echo(
            f"  {format_item(change)}: {change['before']} -> {change['value']}{request_change}"
        )


@tables.command(name="diff")
@click.argument("file", type=click.Path())
@click.argument("proxy")
@click.argument("one")
@click.argument("other")
@CONTROLLER_OPTION
def tables_diff(file: str, proxy: str, one: str, other: str, name: Optional[str]) -> None:
    """Show the items that differ between two versions, and their percentages of the requests."""
    answers = query_tables(file, name, "diff", not name, proxy=proxy, one=one, other=other)
    for answer in answers.values():
        click.echo(f"{answer['proxy']} {one} -> {other}")
        print_changes(answer["changes"])


def pin_scope(
    proxy: Optional[str], zone: Optional[str], share: Optional[float], everyone: bool
) -> dict[str, str]:
    """Return the scope of a pin as arguments of the query.

    Raises UsageError unless exactly one scope option is given.
    """
    scopes = [
        (scope, str(value))
        for scope, value in (("proxy", proxy), ("zone", zone), ("share", share))
        if value
    ]
    if everyone:
        scopes.append(("all", ""))
    if len(scopes) != 1:
        raise click.UsageError("expected one of --proxy, --zone, --share and --all")
    whom, which = scopes[0]
    return {"whom": whom, "which": which}


PIN_OPTIONS = (
    click.argument("file", type=click.Path()),
    click.option("--proxy", help="name of one proxy or view"),
    click.option("--zone", help="all proxies and views of a zone"),
    click.option(
        "--share",
        type=click.FloatRange(0, 1, min_open=True),
        help="this fraction of all proxies and views",
    ),
    click.option("--all", "everyone", is_flag=True, help="all proxies and views"),
    click.option(
        "--over", type=float, default=10.0, help="seconds from the first to the last proxy's change"
    ),
    click.option(
        "--for", "length", type=float, default=3600.0, help="seconds until the pin expires"
    ),
    click.option("--by", default="", help="author and reason, shown by `tables status`"),
    click.option("--dry", is_flag=True, help="only print what would change"),
    CONTROLLER_OPTION,
)


def pin_options(command: Command) -> Command:
    """Add the options that `pin` and `rollback` share."""
    for option in reversed(PIN_OPTIONS):
        command = option(command)
    return command


def send_pin(file: str, target: str, to: Optional[str], options: Answer) -> None:
    """Create a pin, or print what it would change; `options` are those of PIN_OPTIONS."""
    scope = pin_scope(options["proxy"], options["zone"], options["share"], options["everyone"])
    args = {name: options[name] for name in ("dry", "over", "length", "by")}
    if to is not None:
        args["to"] = to
    dry = options["dry"]
    answers = query_tables(file, options["name"], "pin", dry, **scope, target=target, **args)
    for controller, answer in answers.items():
        if dry:
            print_dry_run(controller, answer)
            continue
        click.echo(
            f"{controller}: pinned as {answer['pin']}; "
            f"to end the pin: peatlead tables resume {file} {answer['pin']}"
        )


def print_dry_run(controller: str, answer: Answer) -> None:
    """Print what a pin would change at each proxy, and what the guard restricts or adds."""
    click.echo(
        f"{controller}: {answer['proxies']} proxies, {answer['would change']} would change, "
        f"{answer['not known']} have a target that this controller does not know"
    )
    for proxy in answer["each"]:
        unknown = "" if proxy["known"] else ": target not known, the current tables would be pinned"
        click.echo(f"{proxy['proxy']}{unknown}")
        print_changes(proxy["changes"])
        for host, reason in sorted(proxy["taken"].items()):
            click.echo(f"  not restored as pinned: {host} {reason}")
        if proxy["filled"]:
            click.echo(f"  added by the guard: {', '.join(sorted(set(proxy['filled'])))}")


@tables.command(name="pin")
@pin_options
def tables_pin(file: str, **options: Any) -> None:
    """Pin proxies to their current tables; only removals and replacements continue."""
    send_pin(file, "held", None, options)


@tables.command(
    name="rollback",
    help="Restore earlier tables, as far as the current endpoints allow, and pin the proxies to "
    "them.",
)
@pin_options
@click.option("--to", help="EPOCH.SERIAL of one proxy, or a time: HH:MM[:SS] or a date and time")
@click.option("--back", type=float, help="or a number of seconds before now")
def tables_rollback(file: str, to: Optional[str], back: Optional[float], **options: Any) -> None:
    """Restore earlier tables, as far as the current endpoints allow, and pin proxies to them."""
    if (to is None) == (back is None):
        raise click.UsageError("expected one of --to and --back")
    if to and to.replace(".", "").isdecimal() and "." in to:
        send_pin(file, "version", to, options)
    elif to:
        send_pin(file, "back", str(time.time() - parse_time(to)), options)
    else:
        send_pin(file, "back", str(back), options)


@tables.command(name="resume")
@click.argument("file", type=click.Path())
@click.argument("pin")
@click.option(
    "--over",
    type=float,
    help="seconds from the first to the last proxy's change; by default as for the pin",
)
@click.option("--by", default="", help="author, shown in the log")
@CONTROLLER_OPTION
def tables_resume(file: str, pin: str, over: Optional[float], by: str, name: Optional[str]) -> None:
    """End a pin: return to the planner's tables."""
    for controller, answer in query_tables(file, name, "resume", pin=pin, over=over, by=by).items():
        click.echo(f"{controller}: {answer['pin']} ended, changes spread over {answer['over']:g} s")


@tables.command(name="status")
@click.argument("file", type=click.Path())
@click.option(
    "--proxies",
    is_flag=True,
    help="list the version last sent to each proxy, and the acknowledged version",
)
@CONTROLLER_OPTION
def tables_status(file: str, proxies: bool, name: Optional[str]) -> None:
    """Show the current pins, and whether versions are stored on disk."""
    for answer in query_tables(file, name, "status", True, proxies=proxies).values():
        stored = "stored on disk"
        if not answer["kept on disk"]:
            stored = f"NOT STORED on disk: {answer['why not']}"
        click.echo(
            f"{answer['steward']}: {answer['proxies']} proxies and views, "
            f"{answer['versions']} versions, {stored}"
        )
        for pin in answer["pins"]:
            print_pin(pin)
        for proxy in answer["holders"]:
            acknowledged = (
                "" if proxy["held"] == proxy["sent"] else f", acknowledged {proxy['held']}"
            )
            pinned = f", pinned by {proxy['pin']}" if proxy["pin"] else ""
            click.echo(f"  {proxy['proxy']}: {proxy['sent']}{acknowledged}{pinned}")


def print_pin(pin: Answer) -> None:
    """Print one pin: its scope, its target and its remaining time."""
    state = f"{pin['left']:.0f} s left"
    if pin["ended"] is not None:
        state = f"ended {pin['ended']:.0f} s ago"
    unknown = ""
    if pin["target not known"]:
        unknown = f", target not known for {', '.join(pin['target not known'])}"
    author = f", by {pin['by']}" if pin["by"] else ""
    click.echo(
        f"  {pin['pin']}: {pin['whom']} {pin['which']}, {pin['target']} {pin['to']}, {state}, "
        f"applies to {pin['holds here']} proxies here{unknown}{author}"
    )
