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
    """What was published, when and why; and the way back."""


CONTROLLER = click.option(
    "--name", help="which steward of FILE to ask; the first that answers if not given"
)


def ask_tables(
    file: str, name: Optional[str], action: str, everyone: bool = False, **args: Any
) -> dict[str, Answer]:
    """The answers by controller's name.

    Controllers of one fleet exchange their pins, so one answer is enough unless `everyone` is
    asked; those that share nothing are asked each.
    """
    settings = settings_or_exit(file)
    names = [one["name"] for one in settings["steward"]]
    if name:
        names = [controller_settings(settings, name)["name"]]
    one_is_enough = settings["steward"][0]["peer"] is not None and not everyone
    answers: dict[str, Answer] = {}
    failures = []
    for controller in names:
        try:
            answers[controller] = ask_controller(settings, controller, action, args)
        except click.ClickException as problem:
            failures.append(f"steward {controller}: {problem.message}")
            continue
        if one_is_enough:
            break
    if not answers:
        raise click.ClickException("; ".join(failures))
    for failure in failures:
        click.echo(failure, err=True)
    return answers


def ask_controller(settings: Answer, controller: str, action: str, args: Answer) -> Answer:
    """One controller's answer. Raises ClickException where there is none or it is an error."""
    from ..controller.control_socket import ask_once

    address = controller_settings(settings, controller)["control"]
    question = {"ask": "tables", "do": action, "args": args}
    try:
        answer: Answer = asyncio.run(ask_once(address, question))
    except (TimeoutError, OSError) as problem:
        raise click.ClickException(str(problem) or "no answer") from None
    if "error" in answer:
        raise click.ClickException(answer["error"])
    return answer


def read_time(text: str) -> float:
    """Unix seconds of `10:32` or `10:32:05` today, or of a date and time as in ISO 8601."""
    for form in ("%H:%M", "%H:%M:%S"):
        try:
            found = datetime.strptime(text, form)
        except ValueError:
            continue
        today = datetime.now()
        return datetime.combine(today.date(), found.time()).timestamp()
    try:
        return datetime.fromisoformat(text).timestamp()
    except ValueError:
        raise click.BadParameter(
            f"expected HH:MM, HH:MM:SS or a date and time, got {text!r}"
        ) from None


def show_time(seconds: float) -> str:
    """Unix seconds as hours, minutes, seconds and milliseconds of the local day."""
    return datetime.fromtimestamp(seconds).strftime("%H:%M:%S.%f")[:-3]


@tables.command(name="log")
@click.argument("file", type=click.Path())
@click.argument("proxy", required=False)
@click.option("--since", help="HH:MM[:SS] or a date and time")
@click.option("--until", help="alike")
@click.option("--most", type=int, default=50)
@CONTROLLER
def tables_log(
    file: str,
    proxy: Optional[str],
    since: Optional[str],
    until: Optional[str],
    most: int,
    name: Optional[str],
) -> None:
    """Versions, newest last: what changed, when and why."""
    args = {
        "proxy": proxy,
        "most": most,
        "since": since and read_time(since),
        "until": until and read_time(until),
    }
    for controller, answer in ask_tables(file, name, "log", not name, **args).items():
        for version in answer["versions"]:
            click.echo(
                f"{show_time(version['at'])} {controller} {version['proxy']} {version['version']}: "
                f"{version['changes']} changes: "
                f"{'; '.join(version['causes']) or 'no cause known'}"
            )
        if answer["more"]:
            click.echo(f"{controller}: {answer['more']} older ones not shown (--most)")


def show_item(item: Answer) -> str:
    """An item's name, with its endpoint and zone where it has one."""
    if "host" not in item:
        return str(item["item"])
    return f"{item['item']} {item['host']} ({item['zone']})"


@tables.command(name="show")
@click.argument("file", type=click.Path())
@click.argument("proxy")
@click.option("--version", help="EPOCH.SERIAL; the newest if not given")
@CONTROLLER
def tables_show(file: str, proxy: str, version: Optional[str], name: Optional[str]) -> None:
    """A proxy's (or view's) tables in one version."""
    answers = ask_tables(file, name, "show", not name, proxy=proxy, version=version)
    for answer in answers.values():
        pinned = f", held by {answer['pinned by']}" if answer["pinned by"] else ""
        click.echo(f"{answer['proxy']} {answer['version']}, digest {answer['digest']}{pinned}")
        for item in answer["items"]:
            click.echo(f"  {show_item(item)}: {item['value']}")


def show_changes(changes: list[Answer]) -> None:
    """Print each changed item, with its part of the requests where that is known."""
    for change in changes:
        before, after = change["part before"], change["part after"]
        moved = ""
        if before is not None or after is not None:
            moved = f", {100 * (before or 0):.1f}% -> {100 * (after or 0):.1f}% of its reqs"
        click.echo(f"  {show_item(change)}: {change['before']} -> {change['value']}{moved}")


@tables.command(name="diff")
@click.argument("file", type=click.Path())
@click.argument("proxy")
@click.argument("one")
@click.argument("other")
@CONTROLLER
def tables_diff(file: str, proxy: str, one: str, other: str, name: Optional[str]) -> None:
    """Lines, and parts of the reqs, that differ between two versions."""
    answers = ask_tables(file, name, "diff", not name, proxy=proxy, one=one, other=other)
    for answer in answers.values():
        click.echo(f"{answer['proxy']} {one} -> {other}")
        show_changes(answer["changes"])


def pin_scope(
    proxy: Optional[str], zone: Optional[str], share: Optional[float], everyone: bool
) -> dict[str, str]:
    """Whom a pin concerns, by the one option that was given."""
    chosen = [
        (scope, str(value))
        for scope, value in (("proxy", proxy), ("zone", zone), ("share", share))
        if value
    ]
    if everyone:
        chosen.append(("all", ""))
    if len(chosen) != 1:
        raise click.UsageError("expected one of --proxy, --zone, --share and --all")
    whom, which = chosen[0]
    return {"whom": whom, "which": which}


PIN_OPTIONS = (
    click.argument("file", type=click.Path()),
    click.option("--proxy", help="one proxy or view"),
    click.option("--zone", help="those of a zone"),
    click.option("--share", type=click.FloatRange(0, 1, min_open=True), help="this share of all"),
    click.option("--all", "everyone", is_flag=True, help="all of them"),
    click.option("--over", type=float, default=10.0, help="seconds from the first to the last"),
    click.option(
        "--for", "length", type=float, default=3600.0, help="seconds until it ends by itself"
    ),
    click.option("--by", default="", help="who asks and why, for others to read"),
    click.option("--dry", is_flag=True, help="only print what would change"),
    CONTROLLER,
)


def pin_options(command: Command) -> Command:
    """Add the options that `pin` and `rollback` share."""
    for option in reversed(PIN_OPTIONS):
        command = option(command)
    return command


def send_pin(file: str, target: str, to: Optional[str], options: Answer) -> None:
    """Lay a pin, or print what it would change; `options` are those of PIN_OPTIONS."""
    scope = pin_scope(options["proxy"], options["zone"], options["share"], options["everyone"])
    args = {name: options[name] for name in ("dry", "over", "length", "by")}
    if to is not None:
        args["to"] = to
    dry = options["dry"]
    answers = ask_tables(file, options["name"], "pin", dry, **scope, target=target, **args)
    for controller, answer in answers.items():
        if dry:
            show_dry_run(controller, answer)
            continue
        click.echo(
            f"{controller}: pinned as {answer['pin']}; "
            f"to end it: peatlead tables resume {file} {answer['pin']}"
        )


def show_dry_run(controller: str, answer: Answer) -> None:
    """Print what a pin would change at each proxy, and why something can't be as it was."""
    click.echo(
        f"{controller}: {answer['proxies']} proxies, {answer['would change']} would change, "
        f"{answer['not known']} whose target is not known here"
    )
    for proxy in answer["each"]:
        unknown = "" if proxy["known"] else ": target not known, would be held as it stands"
        click.echo(f"{proxy['proxy']}{unknown}")
        show_changes(proxy["changes"])
        for host, reason in sorted(proxy["taken"].items()):
            click.echo(f"  not as it was: {host} {reason}")
        if proxy["filled"]:
            click.echo(f"  filled with {', '.join(sorted(set(proxy['filled'])))}")


@tables.command(name="pin")
@pin_options
def tables_pin(file: str, **options: Any) -> None:
    """Holds proxies to what they hold now: only withdrawals and fills go on."""
    send_pin(file, "held", None, options)


@tables.command(
    name="rollback",
    help="Puts proxies back to tables of the past, as "
    "far as hosts of now allow, and holds them there.",
)
@pin_options
@click.option("--to", help="EPOCH.SERIAL of one proxy, or a time: HH:MM[:SS] or a date and time")
@click.option("--back", type=float, help="or so many seconds back")
def tables_rollback(file: str, to: Optional[str], back: Optional[float], **options: Any) -> None:
    """Puts proxies back to tables of the past, as far as hosts of now allow, and holds them."""
    if (to is None) == (back is None):
        raise click.UsageError("expected one of --to and --back")
    if to and to.replace(".", "").isdigit() and "." in to:
        send_pin(file, "version", to, options)
    elif to:
        send_pin(file, "back", str(time.time() - read_time(to)), options)
    else:
        send_pin(file, "back", str(back), options)


@tables.command(name="resume")
@click.argument("file", type=click.Path())
@click.argument("pin")
@click.option(
    "--over",
    type=float,
    help="seconds from the first to the last; as the pin was laid if not given",
)
@click.option("--by", default="", help="who asks")
@CONTROLLER
def tables_resume(file: str, pin: str, over: Optional[float], by: str, name: Optional[str]) -> None:
    """Ends a pin: back to what the planner wants."""
    for controller, answer in ask_tables(file, name, "resume", pin=pin, over=over, by=by).items():
        click.echo(f"{controller}: {answer['pin']} ended, over {answer['over']:g} s")


@tables.command(name="status")
@click.argument("file", type=click.Path())
@click.option(
    "--proxies", is_flag=True, help="the version that each was last sent, and that it says it holds"
)
@CONTROLLER
def tables_status(file: str, proxies: bool, name: Optional[str]) -> None:
    """Pins that stand, and whether versions are kept."""
    for answer in ask_tables(file, name, "status", True, proxies=proxies).values():
        stored = "kept on disk"
        if not answer["kept on disk"]:
            stored = f"NOT KEPT on disk: {answer['why not']}"
        click.echo(
            f"{answer['steward']}: {answer['proxies']} proxies and views, "
            f"{answer['versions']} versions, {stored}"
        )
        for pin in answer["pins"]:
            show_pin(pin)
        for proxy in answer["holders"]:
            behind = "" if proxy["held"] == proxy["sent"] else f", says it holds {proxy['held']}"
            pinned = f", held by {proxy['pin']}" if proxy["pin"] else ""
            click.echo(f"  {proxy['proxy']}: {proxy['sent']}{behind}{pinned}")


def show_pin(pin: Answer) -> None:
    """Print one pin: whom it concerns, its target, how long it stands."""
    state = f"{pin['left']:.0f} s left"
    if pin["ended"] is not None:
        state = f"ended {pin['ended']:.0f} s ago"
    unknown = ""
    if pin["target not known"]:
        unknown = f", target not known for {', '.join(pin['target not known'])}"
    by = f", {pin['by']}" if pin["by"] else ""
    click.echo(
        f"  {pin['pin']}: {pin['whom']} {pin['which']}, {pin['target']} {pin['to']}, {state}, "
        f"holds {pin['holds here']} here{unknown}{by}"
    )
