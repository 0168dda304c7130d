"""Commands `answer`, `status`, `drained` and `why`: queries to a running controller."""

import json
import sys
from typing import Optional

import click

from .common import Answer, query_controller
from .main import main


@main.command()
@click.argument("file", type=click.Path())
@click.argument("view")
@click.option(
    "--service", default="", help="label of the service; by default the first service in FILE"
)
@click.option("--name", help="controller to query; required if FILE has several")
def answer(file: str, view: str, service: str, name: Optional[str]) -> None:
    """Show what a running controller would answer to DNS clients of VIEW now."""
    response = query_controller(file, name, {"ask": "answer", "view": view, "service": service})
    stale = "" if response["fresh"] else "; the controller has stalled and answers no queries"
    click.echo(f"{response['view']} (zone {response['zone']}): TTL {response['lifetime']} s{stale}")
    for line in response["lines"]:
        ramp = "" if line["weight"] >= line["listed"] else f", ramping to {line['listed']:g}"
        named = "" if line["named"] else ", not in address records yet"
        click.echo(
            f"  {line['host']} {line['address']} zone {line['zone']} "
            f"weight {line['weight']:g}{ramp}{named}"
        )


@main.command()
@click.argument("file", type=click.Path())
@click.option("--name", help="controller to query; required if FILE has several")
def status(file: str, name: Optional[str]) -> None:
    """Show the counters of a running controller as JSON."""
    click.echo(json.dumps(query_controller(file, name, {"ask": "status"}), indent=1))


@main.command()
@click.argument("file", type=click.Path())
@click.argument("host")
@click.option("--name", help="controller to query; required if FILE has several")
def drained(file: str, host: str, name: Optional[str]) -> None:
    """Check whether HOST can be stopped: exit 0 if no cached answer contains it any more.

    Only answers of the queried controller are considered.
    """
    response = query_controller(file, name, {"ask": "drained", "host": host})
    remaining = response["seconds until no kept answer names it"]
    endpoint = f"{host} ({response['phase']})"
    if remaining is None:
        click.echo(f"{endpoint}: still in the answers to {response['named by views']} views")
    elif remaining:
        click.echo(f"{endpoint}: in no new answer; earlier answers expire in {remaining:.1f} s")
    else:
        click.echo(
            f"{endpoint}: in no new answer, and earlier answers have expired. Some resolvers cache "
            "answers for longer: stop the endpoint when it receives no more requests."
        )
    sys.exit(0 if remaining == 0 else 1)


@main.command(
    help="Show the state and the recent events of an endpoint or a proxy, and how long each "
    "removal of an endpoint took to reach all proxies.",
)
@click.argument("file", type=click.Path())
@click.argument("what")
@click.option("--name", help="controller to query; required if FILE has several")
def why(file: str, what: str, name: Optional[str]) -> None:
    """Show the state and recent events of an endpoint or proxy, and the delays of removals."""
    response = query_controller(file, name, {"ask": "why", "host": what})
    notes = response.pop("notes", [])
    withdrawals = response.pop("losses", [])
    tables = response.pop("lines", {})
    for field, value in response.items():
        click.echo(f"{field:24} {value}")
    for age, text in notes:
        click.echo(f"{age:10.2f} s ago  {text}")
    for withdrawal in withdrawals:
        click.echo(describe_withdrawal(withdrawal))
    for request_class, entries in tables.items():
        weights = ", ".join(f"{host} {weight:g}" for host, weight in entries.items())
        click.echo(f"{request_class}: {weights}")


def describe_withdrawal(withdrawal: Answer) -> str:
    """Return a line on how far an endpoint's removal has reached the tables that named it."""
    delays = ""
    if withdrawal["last s"] is not None:
        delays = f"; median {withdrawal['median s']:g} s, last {withdrawal['last s']:g} s"
    return (
        f"removed {withdrawal['seconds ago']:.2f} s ago from {withdrawal['holders']} holders: "
        f"{withdrawal['without it']} applied, {withdrawal['still to go']} pending, "
        f"{withdrawal['left before']} disconnected{delays}"
    )
