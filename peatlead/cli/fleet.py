"""Commands `fleet ...`: members, owners of proxies, handing them over."""

from typing import Optional

import click

from .common import Answer, ask
from .main import main


@main.group()
def fleet() -> None:
    """Several stewards over one fleet: who owns what, and handing over."""


def ask_fleet(file: str, name: Optional[str], action: str, proxy: str = "") -> Answer:
    """A controller's answer to a question about the fleet."""
    return ask(file, name, {"ask": "fleet", "do": action, "host": proxy})


@fleet.command(name="status")
@click.argument("file", type=click.Path())
@click.option("--name", help="which steward of FILE to ask")
@click.option("--proxies", is_flag=True, help="each proxy with its epoch, and for how long")
def fleet_status(file: str, name: Optional[str], proxies: bool) -> None:
    """Members as this steward knows them, and what it owns."""
    answer = ask_fleet(file, name, "status")
    for member, about in sorted(answer["members"].items()):
        draining = ", draining" if about["draining"] else ""
        click.echo(
            f"{member}: {about['state']} for {about['since']:.1f} s, "
            f"{about['proxies']} proxies{draining}"
        )
    click.echo(
        f"{answer['steward']}: {answer['joined']} joined, {answer['moved']} moved, "
        f"{answer['sent on']} sent on, {answer['paced']} paced, "
        f"{answer['refusals']} assignments refused"
    )
    if proxies:
        for proxy, (epoch, since) in answer["owned"].items():
            click.echo(f"  {proxy}: epoch {epoch} for {since:.1f} s")


@fleet.command(name="drain")
@click.argument("file", type=click.Path())
@click.argument("steward")
@click.option("--undo", is_flag=True, help="take proxies again")
def fleet_drain(file: str, steward: str, undo: bool) -> None:
    """Hands all of STEWARD's proxies to the others."""
    answer = ask_fleet(file, steward, "undrain" if undo else "drain")
    state = "takes more again" if undo else "handing over"
    click.echo(f"{steward}: {answer['joined']} proxies, {state}")


@fleet.command(name="why")
@click.argument("file", type=click.Path())
@click.argument("proxy")
@click.option("--name", help="which steward of FILE to ask")
def fleet_why(file: str, proxy: str, name: Optional[str]) -> None:
    """Who should own PROXY, and why."""
    answer = ask_fleet(file, name, "why", proxy)
    here = "not joined here"
    if answer["here"]:
        here = f"joined here, epoch {answer['epoch']} for {answer['since']:.1f} s"
    click.echo(f"{proxy}: owner {answer['owner']}; by rank {', '.join(answer['rank'])}; {here}")
