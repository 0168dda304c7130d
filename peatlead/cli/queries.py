"""Commands `answer`, `status`, `drained` and `why`: questions to a running controller."""

import json
import sys
from typing import Optional

import click

from .common import Answer, ask
from .main import main


@main.command()
@click.argument("file", type=click.Path())
@click.argument("view")
@click.option("--service", default="", help="label of the service; the first of FILE if not given")
@click.option("--name", help="which steward of FILE to ask")
def answer(file: str, view: str, service: str, name: Optional[str]) -> None:
    """What VIEW would be told now, asked of a running steward."""
    found = ask(file, name, {"ask": "answer", "view": view, "service": service})
    stale = "" if found["fresh"] else "; the steward stands still and answers nobody"
    click.echo(f"{found['view']} (zone {found['zone']}): lifetime {found['lifetime']} s{stale}")
    for line in found["lines"]:
        ramp = "" if line["weight"] >= line["listed"] else f", ramping to {line['listed']:g}"
        named = "" if line["named"] else ", not named in addresses yet"
        click.echo(
            f"  {line['host']} {line['address']} zone {line['zone']} "
            f"weight {line['weight']:g}{ramp}{named}"
        )


@main.command()
@click.argument("file", type=click.Path())
@click.option("--name", help="which steward of FILE to ask")
def status(file: str, name: Optional[str]) -> None:
    """Counts of a running steward."""
    click.echo(json.dumps(ask(file, name, {"ask": "status"}), indent=1))


@main.command()
@click.argument("file", type=click.Path())
@click.argument("host")
@click.option("--name", help="which steward of FILE to ask")
def drained(file: str, host: str, name: Optional[str]) -> None:
    """Whether HOST may be stopped: exit 0 once no kept answer of this steward names it."""
    found = ask(file, name, {"ask": "drained", "host": host})
    left = found["seconds until no kept answer names it"]
    where = f"{host} ({found['phase']})"
    if left is None:
        click.echo(f"{where}: {found['named by views']} views are still told of it")
    elif left:
        click.echo(f"{where}: no answer names it; those given run out in {left:.1f} s")
    else:
        click.echo(
            f"{where}: no answer names it and those given have run out. Resolvers that keep "
            "answers longer than they may still send: stop it once its own reqs have ceased."
        )
    sys.exit(0 if left == 0 else 1)


@main.command(
    help="A HOST or PROXY: what is known of it, what befell "
    "it lately, how long each loss took to the last holder.",
)
@click.argument("file", type=click.Path())
@click.argument("what")
@click.option("--name", help="which steward of FILE to ask; the first if not given")
def why(file: str, what: str, name: Optional[str]) -> None:
    """A HOST or PROXY: what is known of it, its last events, how long each loss took to spread."""
    found = ask(file, name, {"ask": "why", "host": what})
    notes = found.pop("notes", [])
    losses = found.pop("losses", [])
    tables = found.pop("lines", {})
    for field, value in found.items():
        click.echo(f"{field:24} {value}")
    for ago, text in notes:
        click.echo(f"{ago:10.2f} s ago  {text}")
    for loss in losses:
        click.echo(describe_loss(loss))
    for request_class, entries in tables.items():
        listed = ", ".join(f"{host} {weight:g}" for host, weight in entries.items())
        click.echo(f"{request_class}: {listed}")


def describe_loss(loss: Answer) -> str:
    """One line on an endpoint's removal: how many held it, and how fast it left their tables."""
    spread = ""
    if loss["last s"] is not None:
        spread = f"; median {loss['median s']:g} s, last {loss['last s']:g} s"
    return (
        f"loss {loss['seconds ago']:.2f} s ago: {loss['holders']} held it, "
        f"{loss['without it']} without it, {loss['still to go']} to go, "
        f"{loss['left before']} left before{spread}"
    )
