"""The command line: `peatlead run|check|day|rules|answer|status`."""

import asyncio
import json
import logging
import os
import signal
import sys
import tempfile
import time
from contextlib import contextmanager
from datetime import datetime
from pathlib import Path

import click
import structlog

from .settings import SettingsError, read_settings
from .settings.shapes import reference

PLANNERS = ("shards", "plain")


def settings_or_exit(path):
    try:
        return read_settings(path)
    except SettingsError as problem:
        raise click.ClickException(str(problem)) from None


def begin_log(form):
    """One event a line on standard error: JSON for machines, or text."""
    shape = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            shape,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def steward_of(settings, name):
    names = [one["name"] for one in settings["steward"]]
    if name is None and len(names) == 1:
        return settings["steward"][0]
    if name not in names:
        raise click.ClickException(f"--name: expected one of {', '.join(names)}, got {name!r}")
    return settings["steward"][names.index(name)]


@click.group()
@click.version_option(package_name="peatlead")
def main():
    """Steers traffic by publishing weights to plain proxies and DNS clients."""


@main.command()
@click.argument("file", type=click.Path())
@click.option("--name", help="which steward of FILE this is")
@click.option(
    "--state", type=click.Path(file_okay=False), help="folder for what outlives a restart"
)
@click.option(
    "--planner",
    type=click.Choice(PLANNERS),
    default="shards",
    help="plain: the baseline for comparison",
)
@click.option("--log", type=click.Choice(("json", "text")), default="json")
def run(file, name, state, planner, log):
    """Runs a steward until SIGTERM or SIGINT."""
    settings = settings_or_exit(file)
    me = steward_of(settings, name)
    begin_log(log)
    sys.exit(asyncio.run(serve(settings, me["name"], state, planner)))


async def serve(settings, name, state, planner):
    from .controller.controller import Controller
    from .planner.planner import Planner
    from .scenario.plain import PlainPlanner

    logger = structlog.get_logger().bind(steward=name)
    made = {"shards": Planner, "plain": PlainPlanner}[planner]
    steward = Controller(
        settings, name, logger.info, made, state, boot=os.urandom(8), wall=time.time
    )
    loop = asyncio.get_running_loop()
    for one in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(one, steward.stop)
    try:
        await steward.start()
    except OSError as problem:
        logger.error("cannot start", why=str(problem))
        return 1
    return 0 if await steward.ended == "stopped" else 3


@main.command()
@click.argument("file", type=click.Path(), required=False)
@click.option(
    "--reference", "show_reference", is_flag=True, help="print every setting and what it means"
)
def check(file, show_reference):
    """Checks a settings script; an error names file, line and what was expected."""
    if show_reference:
        click.echo(reference())
        return
    if file is None:
        raise click.UsageError("expected FILE or --reference")
    settings = settings_or_exit(file)
    click.echo(
        f"{file}: {len(settings['steward'])} stewards, {len(settings['view'])} views and "
        f"{settings['dns']['open_views']} open ones, {len(settings['request_kind'])} request kinds: usable"
    )


@main.command()
@click.argument("script", type=click.Path())
@click.option("--planner", type=click.Choice((*PLANNERS, "both")), default="shards")
@click.option(
    "--out", type=click.Path(file_okay=False), help="folder for settings, record and logs"
)
def day(script, planner, out):
    """Plays a day script against stand-ins and checks the five rules from what crossed the sockets."""
    from .scenario.script import read_day

    try:
        made = read_day(script)
    except SettingsError as problem:
        raise click.ClickException(str(problem)) from None
    folder = Path(out or tempfile.mkdtemp(prefix="peatlead-day-"))
    chosen = PLANNERS if planner == "both" else (planner,)
    reports = asyncio.run(play_all(made, folder, chosen))
    for one, report in reports.items():
        show_one(report, folder / one, one)
    if planner == "both":
        compare(reports)
    click.echo(f"record and logs: {folder}")
    sys.exit(0 if reports[chosen[0]].kept else 1)


async def play_all(made, folder, planners):
    """Side by side, so that the machine's own moods strike all alike."""
    from .scenario.runner import Day

    plain = {
        **made,
        "steering": {**made["steering"], "addresses": 32},
    }  # every host in every answer
    days = [Day(plain if one == "plain" else made, folder / one, one) for one in planners]
    return dict(zip(planners, await asyncio.gather(*(day.play() for day in days))))


def show_one(report, folder, planner):
    from .invariants.report import as_data, show

    show(
        report,
        {"shards": "peatlead", "plain": "plain baseline (every host in every answer, no health)"}[
            planner
        ],
    )
    (folder / "report.json").write_text(json.dumps(as_data(report), indent=1))


def compare(reports):
    from rich.console import Console
    from rich.table import Table

    table = Table(title="service, side by side", title_justify="left")
    for name in ("request kind", "peatlead", "plain", "not served: peatlead", "not served: plain"):
        table.add_column(name, justify="right")
    ours, plain = reports["shards"].service, reports["plain"].service
    for kind in ours:
        lost = [
            sum(
                many
                for outcome, many in one[kind]["outcomes"].items()
                if outcome not in ("done", "late")
            )
            for one in (ours, plain)
        ]
        table.add_row(
            kind, f"{ours[kind]['part']:.4f}", f"{plain[kind]['part']:.4f}", *map(str, lost)
        )
    Console(width=118).print(table)


@main.command()
@click.option(
    "--out",
    type=click.Path(file_okay=False),
    required=True,
    help="folder for records and the table",
)
@click.option("--only", help="one case by name")
@click.option("--at-once", type=int, default=3, help="cases played side by side")
def kinds(out, only, at_once):
    """Plays each kind of trouble alone, beside the plain baseline, and keeps a table."""
    from .scenario.kinds import play_kinds

    try:
        found = asyncio.run(play_kinds(Path(out), only, at_once, click.echo))
    except KeyError:
        raise click.ClickException(f"--only: no case is called {only!r}") from None
    sys.exit(0 if found else 1)


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def rules(folder):
    """Checks a day's record again."""
    from .invariants.checker import check as check_rows
    from .invariants.record import read_folder
    from .invariants.report import show

    settings = settings_or_exit(str(Path(folder) / "settings.star"))
    kinds = {kind["name"]: kind["gain"] for kind in settings["request_kind"]}
    report = check_rows(read_folder(folder), settings["limits"], kinds)
    show(report, folder)
    sys.exit(0 if report.kept else 1)


def ask(file, name, question):
    from .controller.control_socket import ask_once

    me = steward_of(settings_or_exit(file), name)
    try:
        answer = asyncio.run(ask_once(me["control"], question))
    except (OSError, asyncio.TimeoutError) as problem:
        raise click.ClickException(
            f"steward {me['name']} at {me['control']}: {problem or 'no answer'}"
        ) from None
    if "error" in answer:
        raise click.ClickException(answer["error"])
    return answer


@main.command()
@click.argument("file", type=click.Path())
@click.argument("view")
@click.option("--service", default="", help="label of the service; the first of FILE if not given")
@click.option("--name", help="which steward of FILE to ask")
def answer(file, view, service, name):
    """What VIEW would be told now, asked of a running steward."""
    told = ask(file, name, {"ask": "answer", "view": view, "service": service})
    click.echo(
        f"{told['view']} (zone {told['zone']}): lifetime {told['lifetime']} s"
        + ("" if told["fresh"] else "; the steward stands still and answers nobody")
    )
    for line in told["lines"]:
        ramp = "" if line["weight"] >= line["listed"] else f", ramping to {line['listed']:g}"
        named = "" if line["named"] else ", not named in addresses yet"
        click.echo(
            f"  {line['host']} {line['address']} zone {line['zone']} weight {line['weight']:g}{ramp}{named}"
        )


@main.command()
@click.argument("file", type=click.Path())
@click.option("--name", help="which steward of FILE to ask")
def status(file, name):
    """Counts of a running steward."""
    click.echo(json.dumps(ask(file, name, {"ask": "status"}), indent=1))


@main.command()
@click.argument("file", type=click.Path())
@click.argument("host")
@click.option("--name", help="which steward of FILE to ask")
def drained(file, host, name):
    """Whether HOST may be stopped: exit 0 once no kept answer of this steward names it."""
    told = ask(file, name, {"ask": "drained", "host": host})
    left = told["seconds until no kept answer names it"]
    if left is None:
        click.echo(f"{host} ({told['phase']}): {told['named by views']} views are still told of it")
    elif left:
        click.echo(
            f"{host} ({told['phase']}): no answer names it; those given run out in {left:.1f} s"
        )
    else:
        click.echo(
            f"{host} ({told['phase']}): no answer names it and those given have run out. Resolvers that keep "
            "answers longer than they may still send: stop it once its own reqs have ceased."
        )
    sys.exit(0 if left == 0 else 1)


@main.group()
def fleet():
    """Several stewards over one fleet: who owns what, and handing over."""


def ask_fleet(file, name, do, host=""):
    return ask(file, name, {"ask": "fleet", "do": do, "host": host})


@fleet.command(name="status")
@click.argument("file", type=click.Path())
@click.option("--name", help="which steward of FILE to ask")
@click.option("--proxies", is_flag=True, help="each proxy with its epoch, and for how long")
def fleet_status(file, name, proxies):
    """Members as this steward knows them, and what it owns."""
    told = ask_fleet(file, name, "status")
    for member, about in sorted(told["members"].items()):
        draining = ", draining" if about["draining"] else ""
        click.echo(
            f"{member}: {about['state']} for {about['since']:.1f} s, {about['proxies']} proxies{draining}"
        )
    click.echo(
        f"{told['steward']}: {told['joined']} joined, {told['moved']} moved, {told['sent on']} sent on, "
        f"{told['paced']} paced, {told['refusals']} assignments refused"
    )
    for proxy, (epoch, since) in told["owned"].items() if proxies else ():
        click.echo(f"  {proxy}: epoch {epoch} for {since:.1f} s")


@fleet.command(name="drain")
@click.argument("file", type=click.Path())
@click.argument("steward")
@click.option("--undo", is_flag=True, help="take proxies again")
def fleet_drain(file, steward, undo):
    """Hands all of STEWARD's proxies to the others."""
    told = ask_fleet(file, steward, "undrain" if undo else "drain")
    click.echo(
        f"{steward}: {told['joined']} proxies, {'takes more again' if undo else 'handing over'}"
    )


@fleet.command(name="why")
@click.argument("file", type=click.Path())
@click.argument("proxy")
@click.option("--name", help="which steward of FILE to ask")
def fleet_why(file, proxy, name):
    """Who should own PROXY, and why."""
    told = ask_fleet(file, name, "why", proxy)
    here = (
        f"joined here, epoch {told['epoch']} for {told['since']:.1f} s"
        if told["here"]
        else "not joined here"
    )
    click.echo(f"{proxy}: owner {told['owner']}; by rank {', '.join(told['rank'])}; {here}")


@main.command()
@click.argument("file", type=click.Path())
@click.argument("what")
@click.option("--name", help="which steward of FILE to ask; the first if not given")
def why(file, what, name):
    """A HOST or PROXY: what is known of it, what befell it lately, how long each loss took to the last holder."""
    told = ask(file, name, {"ask": "why", "host": what})
    notes, losses, lines = told.pop("notes", []), told.pop("losses", []), told.pop("lines", {})
    for field, value in told.items():
        click.echo(f"{field:24} {value}")
    for ago, text in notes:
        click.echo(f"{ago:10.2f} s ago  {text}")
    for one in losses:
        went = f"{one['without it']} without it, {one['still to go']} to go, {one['left before']} left before"
        spread = (
            ""
            if one["last s"] is None
            else f"; median {one['median s']:g} s, last {one['last s']:g} s"
        )
        click.echo(f"loss {one['seconds ago']:.2f} s ago: {one['holders']} held it, {went}{spread}")
    for kind, held in lines.items():
        click.echo(f"{kind}: " + ", ".join(f"{host} {weight:g}" for host, weight in held.items()))


@main.group()
def tables():
    """What was published, when and why; and the way back."""


STEWARD = click.option(
    "--name", help="which steward of FILE to ask; the first that answers if not given"
)


def ask_tables(file, name, do, everyone=False, **args):
    """{steward: answer}. Stewards of one fleet tell each other pins; those that share nothing are asked each."""
    from .controller.control_socket import ask_once

    settings = settings_or_exit(file)
    names = (
        [steward_of(settings, name)["name"]]
        if name
        else [one["name"] for one in settings["steward"]]
    )
    shared, answers, wrong = settings["steward"][0]["peer"] is not None, {}, []
    for one in names:
        try:
            answers[one] = asyncio.run(
                ask_once(
                    steward_of(settings, one)["control"], {"ask": "tables", "do": do, "args": args}
                )
            )
        except (OSError, asyncio.TimeoutError) as problem:
            wrong.append(f"steward {one}: {problem or 'no answer'}")
            continue
        if "error" in answers[one]:
            wrong.append(f"steward {one}: {answers.pop(one)['error']}")
        elif shared and not everyone:
            break
    if not answers:
        raise click.ClickException("; ".join(wrong))
    for one in wrong:
        click.echo(one, err=True)
    return answers


def moment(text):
    """Seconds of the day's clock: `10:32`, `10:32:05`, or a date and time as in ISO 8601."""
    for form in ("%H:%M", "%H:%M:%S"):
        try:
            found = datetime.strptime(text, form)
            return (
                datetime.now()
                .replace(hour=found.hour, minute=found.minute, second=found.second, microsecond=0)
                .timestamp()
            )
        except ValueError:
            continue
    try:
        return datetime.fromisoformat(text).timestamp()
    except ValueError:
        raise click.BadParameter(
            f"expected HH:MM, HH:MM:SS or a date and time, got {text!r}"
        ) from None


def clock(seconds):
    return datetime.fromtimestamp(seconds).strftime("%H:%M:%S.%f")[:-3]


@tables.command(name="log")
@click.argument("file", type=click.Path())
@click.argument("proxy", required=False)
@click.option("--since", help="HH:MM[:SS] or a date and time")
@click.option("--until", help="alike")
@click.option("--most", type=int, default=50)
@STEWARD
def tables_log(file, proxy, since, until, most, name):
    """Versions, newest last: what changed, when and why."""
    args = {
        "proxy": proxy,
        "most": most,
        "since": since and moment(since),
        "until": until and moment(until),
    }
    for steward, told in ask_tables(file, name, "log", not name, **args).items():
        for one in told["versions"]:
            click.echo(
                f"{clock(one['at'])} {steward} {one['proxy']} {one['version']}: {one['changes']} changes: "
                f"{'; '.join(one['causes']) or 'no cause known'}"
            )
        if told["more"]:
            click.echo(f"{steward}: {told['more']} older ones not shown (--most)")


def show_item(one):
    return f"{one['item']} {one['host']} ({one['zone']})" if "host" in one else one["item"]


@tables.command(name="show")
@click.argument("file", type=click.Path())
@click.argument("proxy")
@click.option("--version", help="EPOCH.SERIAL; the newest if not given")
@STEWARD
def tables_show(file, proxy, version, name):
    """A proxy's (or view's) tables in one version."""
    for told in ask_tables(file, name, "show", not name, proxy=proxy, version=version).values():
        pinned = f", held by {told['pinned by']}" if told["pinned by"] else ""
        click.echo(f"{told['proxy']} {told['version']}, digest {told['digest']}{pinned}")
        for one in told["items"]:
            click.echo(f"  {show_item(one)}: {one['value']}")


def show_changes(found):
    for one in found:
        moved = ""
        if one["part before"] is not None or one["part after"] is not None:
            moved = f", {100 * (one['part before'] or 0):.1f}% -> {100 * (one['part after'] or 0):.1f}% of its reqs"
        click.echo(f"  {show_item(one)}: {one['before']} -> {one['value']}{moved}")


@tables.command(name="diff")
@click.argument("file", type=click.Path())
@click.argument("proxy")
@click.argument("one")
@click.argument("other")
@STEWARD
def tables_diff(file, proxy, one, other, name):
    """Lines, and parts of the reqs, that differ between two versions."""
    for told in ask_tables(
        file, name, "diff", not name, proxy=proxy, one=one, other=other
    ).values():
        click.echo(f"{told['proxy']} {one} -> {other}")
        show_changes(told["changes"])


def whom(proxy, zone, share, everyone):
    chosen = [
        (kind, str(value))
        for kind, value in (("proxy", proxy), ("zone", zone), ("share", share))
        if value
    ]
    chosen += [("all", "")] if everyone else []
    if len(chosen) != 1:
        raise click.UsageError("expected one of --proxy, --zone, --share and --all")
    return dict(zip(("whom", "which"), chosen[0]))


def pinning(command):
    """The options that pin and rollback share."""
    for option in reversed(
        (
            click.argument("file", type=click.Path()),
            click.option("--proxy", help="one proxy or view"),
            click.option("--zone", help="those of a zone"),
            click.option(
                "--share", type=click.FloatRange(0, 1, min_open=True), help="this share of all"
            ),
            click.option("--all", "everyone", is_flag=True, help="all of them"),
            click.option(
                "--over", type=float, default=10.0, help="seconds from the first to the last"
            ),
            click.option(
                "--for",
                "length",
                type=float,
                default=3600.0,
                help="seconds until it ends by itself",
            ),
            click.option("--by", default="", help="who asks and why, for others to read"),
            click.option("--dry", is_flag=True, help="only print what would change"),
            STEWARD,
        )
    ):
        command = option(command)
    return command


def send_pin(file, name, dry, **args):
    for steward, told in ask_tables(file, name, "pin", dry, dry=dry, **args).items():
        if not dry:
            click.echo(
                f"{steward}: pinned as {told['pin']}; to end it: peatlead tables resume {file} {told['pin']}"
            )
            continue
        click.echo(
            f"{steward}: {told['proxies']} proxies, {told['would change']} would change, "
            f"{told['not known']} whose target is not known here"
        )
        for one in told["each"]:
            click.echo(
                f"{one['proxy']}"
                + ("" if one["known"] else ": target not known, would be held as it stands")
            )
            show_changes(one["changes"])
            for host, why in sorted(one["taken"].items()):
                click.echo(f"  not as it was: {host} {why}")
            if one["filled"]:
                click.echo(f"  filled with {', '.join(sorted(set(one['filled'])))}")


@tables.command(name="pin")
@pinning
def tables_pin(file, proxy, zone, share, everyone, over, length, by, dry, name):
    """Holds proxies to what they hold now: only withdrawals and fills go on."""
    send_pin(
        file,
        name,
        dry,
        **whom(proxy, zone, share, everyone),
        target="held",
        over=over,
        length=length,
        by=by,
    )


@tables.command(name="rollback")
@pinning
@click.option("--to", help="EPOCH.SERIAL of one proxy, or a time: HH:MM[:SS] or a date and time")
@click.option("--back", type=float, help="or so many seconds back")
def tables_rollback(file, proxy, zone, share, everyone, over, length, by, dry, name, to, back):
    """Puts proxies back to tables of the past, as far as hosts of now allow, and holds them there."""
    if (to is None) == (back is None):
        raise click.UsageError("expected one of --to and --back")
    target, value = "back", str(back)
    if to and to.replace(".", "").isdigit() and "." in to:
        target, value = "version", to
    elif to:
        value = str(time.time() - moment(to))
    send_pin(
        file,
        name,
        dry,
        **whom(proxy, zone, share, everyone),
        target=target,
        to=value,
        over=over,
        length=length,
        by=by,
    )


@tables.command(name="resume")
@click.argument("file", type=click.Path())
@click.argument("pin")
@click.option(
    "--over",
    type=float,
    help="seconds from the first to the last; as the pin was laid if not given",
)
@click.option("--by", default="", help="who asks")
@STEWARD
def tables_resume(file, pin, over, by, name):
    """Ends a pin: back to what the planner wants."""
    for steward, told in ask_tables(file, name, "resume", pin=pin, over=over, by=by).items():
        click.echo(f"{steward}: {told['pin']} ended, over {told['over']:g} s")


@tables.command(name="status")
@click.argument("file", type=click.Path())
@click.option(
    "--proxies", is_flag=True, help="the version that each was last sent, and that it says it holds"
)
@STEWARD
def tables_status(file, proxies, name):
    """Pins that stand, and whether versions are kept."""
    for told in ask_tables(file, name, "status", True, proxies=proxies).values():
        kept = "kept on disk" if told["kept on disk"] else f"NOT KEPT on disk: {told['why not']}"
        click.echo(
            f"{told['steward']}: {told['proxies']} proxies and views, {told['versions']} versions, {kept}"
        )
        for one in told["pins"]:
            state = (
                f"ended {one['ended']:.0f} s ago"
                if one["ended"] is not None
                else f"{one['left']:.0f} s left"
            )
            strange = ", ".join(one["target not known"])
            unknown = f", target not known for {strange}" if strange else ""
            click.echo(
                f"  {one['pin']}: {one['whom']} {one['which']}, {one['target']} {one['to']}, {state}, holds "
                f"{one['holds here']} here{unknown}" + (f", {one['by']}" if one["by"] else "")
            )
        for one in told["holders"]:
            behind = "" if one["held"] == one["sent"] else f", says it holds {one['held']}"
            click.echo(
                f"  {one['proxy']}: {one['sent']}{behind}"
                + (f", held by {one['pin']}" if one["pin"] else "")
            )


@main.group()
def lab():
    """The emulator: days on simulated time, hunts, studies."""


def day_of(script, seed, kind):
    """A day's map from a script, or drawn by seed."""
    from .lab.random_scenario import draw
    from .scenario.script import read_day

    if script is None:
        return draw(seed, kind)
    try:
        return read_day(script)
    except SettingsError as problem:
        raise click.ClickException(str(problem)) from None


KIND = click.option(
    "--kind", type=click.Choice(("fleet", "dns")), default="fleet", help="of drawn days"
)


@lab.command(name="run")
@click.argument("script", type=click.Path(), required=False)
@click.option("--seed", type=int, default=1)
@click.option("--planner", type=click.Choice((*PLANNERS, "home", "oracle")), default="shards")
@KIND
def lab_run(script, seed, planner, kind):
    """Plays a day script, or the day that SEED draws, on simulated time."""
    from .invariants.report import show
    from .lab.day import play_day

    played = play_day(day_of(script, seed, kind), seed, planner)
    if played.report is not None:
        show(played.report, f"simulated, seed {seed}")
    for find in played.finds:
        click.echo(f"found: {find}")
    click.echo(
        f"digest {played.digest}, {played.events} events, {played.seconds:.1f} simulated seconds"
    )
    sys.exit(1 if played.finds else 0)


@contextmanager
def progress(what, many):
    """(say, step) for work of many parts: a bar with the time that is left where somebody looks on, plain lines
    where they go to a file."""
    if not sys.stderr.isatty():
        yield click.echo, lambda done, note: None
        return
    from rich.console import Console
    from rich.progress import (
        BarColumn,
        MofNCompleteColumn,
        Progress,
        TextColumn,
        TimeRemainingColumn,
    )

    console = Console(stderr=True)
    columns = (
        TextColumn(what),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        TextColumn("{task.fields[note]}"),
    )
    with Progress(*columns, console=console) as bar:
        task = bar.add_task(what, total=many, note="")
        yield bar.console.print, lambda done, note: bar.update(task, completed=done, note=note)


@lab.command(name="hunt")
@click.argument("first", type=int)
@click.argument("last", type=int)
@click.option("--workers", type=int, help="processes; the machine's cores if not given")
@click.option("--most", type=int, default=5, help="finds after which it ends")
@click.option("--length", type=float, default=20.0, help="simulated seconds of each day")
@KIND
def lab_hunt(first, last, workers, most, length, kind):
    """Plays seeds FIRST to LAST (not included); what breaks is cut down and printed as a day script."""
    from .lab.hunt import hunt

    with progress(f"hunting {kind}", last - first) as (say, step):
        finds, played = hunt(range(first, last), kind, length, workers, say, most, step)
    for find in finds:
        click.echo(f"\n# seed {find.seed}: {'; '.join(find.what[:3])}\n{find.script}")
    click.echo(f"{played} seeds of {kind}, {len(finds)} finds")
    sys.exit(1 if finds else 0)


@lab.command(name="replay")
@click.argument("what")
@click.option("--script", type=click.Path(), help="a day script; else the day that the seed draws")
@click.option("--seed", type=int, default=1)
@KIND
def lab_replay(what, script, seed, kind):
    """The story of WHAT (a req, an agent, a desk, a host, an address) in a day that is played again."""
    from .lab.day import play_day
    from .lab.timeline import timeline

    played = play_day(day_of(script, seed, kind), seed)
    lines = timeline(played.rows, what, played.logs)
    click.echo("\n".join(lines) if lines else f"nothing in this day is about {what!r}")


def study_of(path):
    from .lab.study import Study

    try:
        return Study(path, Path(path).read_text(encoding="utf-8"))
    except SettingsError as problem:
        raise click.ClickException(str(problem)) from None
    except (OSError, UnicodeDecodeError) as problem:
        raise click.ClickException(f"{path}:1: expected a readable study: {problem}") from None


BASE = click.option(
    "--results", "base", type=click.Path(), default="found/lab.sqlite", help="the file of results"
)


@lab.command(name="study")
@click.argument("file", type=click.Path())
@click.option("--workers", type=int)
@BASE
def lab_study(file, workers, base):
    """Plays what is missing of a study; may be stopped and run again."""
    from .lab.study import Results, run

    study, results = study_of(file), Results(base)
    with progress(
        study.head["name"], len(study.cells()) - len(results.done(study.head["name"]))
    ) as (say, step):
        run(study, results, workers, say, step)


@lab.command(name="compare")
@click.argument("file", type=click.Path())
@click.argument("figure")
@BASE
def lab_compare(file, figure, base):
    """Paired differences of FIGURE to the first variant and policy, with 95% intervals."""
    from .lab.study import Results, compare

    study, results = study_of(file), Results(base)
    ways = [(variant, policy) for variant in study.variants for policy in study.policies]
    for case in study.cases:
        for way in ways[1:]:
            try:
                found = compare(results, study.head["name"], figure, ways[0], way, case)
            except ValueError as problem:
                raise click.ClickException(str(problem)) from None
            told = (
                "not played"
                if found is None
                else "{:+.4g} [{:+.4g}, {:+.4g}], {} pairs".format(*found)
            )
            click.echo(f"{case}: {way[0]} / {way[1]} less {ways[0][0]} / {ways[0][1]}: {told}")


@lab.command(name="report")
@click.argument("file", type=click.Path())
@click.argument("out", type=click.Path(dir_okay=False))
@BASE
def lab_report(file, out, base):
    """Writes a study's tables and charts as one HTML file."""
    from .lab.report import write
    from .lab.study import Results

    write(Results(base), study_of(file), out)
    click.echo(out)
