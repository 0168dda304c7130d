"""Commands `fleet ...`: members of a fleet, owners of proxies, and draining a controller."""

from typing import Optional

import click

from .common import Answer, query_controller
from .main import main


@main.group()
def fleet() -> None:
    """Show and change which controllers of a fleet own which proxies."""


def query_fleet(file: str, name: Optional[str], action: str, proxy: str = "") -> Answer:
    """Return a controller's answer to a `fleet` query; `action` is the value of `do`."""
    return query_controller(file, name, {"ask": "fleet", "do": action, "host": proxy})


@fleet.command(name="status")
@click.argument("file", type=click.Path())
@click.option("--name", help="controller to query; required if FILE has several")
@click.option("--proxies", is_flag=True, help="list joined proxies, their epochs and times")
def fleet_status(file: str, name: Optional[str], proxies: bool) -> None:
    """Show the members of the fleet and the proxies of this controller, as it knows them."""
    answer = query_fleet(file, name, "status")
    for member, member_status in sorted(answer["members"].items()):
        draining = ", draining" if member_status["draining"] else ""
        click.echo(
            f"{member}: {member_status['state']} for {member_status['since']:.1f} s, "
            f"{member_status['proxies']} proxies{draining}"
        )
    click.echo(
        f"{answer['steward']}: {answer['joined']} proxies joined, {answer['moved']} redirected "
        f"after joining, {answer['sent on']} redirected before joining, "
        f"{answer['paced']} joins delayed, "
        f"{answer['refusals']} assignments refused"
    )
    if proxies:
        for proxy, (epoch, age) in answer["owned"].items():
            click.echo(f"  {proxy}: epoch {epoch} for {age:.1f} s")


@fleet.command(name="drain")
@click.argument("file", type=click.Path())
@click.argument("steward")
@click.option("--undo", is_flag=True, help="accept proxies again")
def fleet_drain(file: str, steward: str, undo: bool) -> None:
    """Hand all proxies of the controller STEWARD over to the other controllers."""
    answer = query_fleet(file, steward, "undrain" if undo else "drain")
    state = "accepts proxies again" if undo else "hands its proxies over"
    click.echo(f"{steward}: {answer['joined']} proxies, {state}")


@fleet.command(name="why")
@click.argument("file", type=click.Path())
@click.argument("proxy")
@click.option("--name", help="controller to query; required if FILE has several")
def fleet_why(file: str, proxy: str, name: Optional[str]) -> None:
    """Show which controller should own PROXY, and why."""
    answer = query_fleet(file, name, "why", proxy)
    joined = "not joined here"
    if answer["here"]:
        joined = f"joined here, epoch {answer['epoch']} for {answer['since']:.1f} s"
    click.echo(f"{proxy}: owner {answer['owner']}; ranking {', '.join(answer['rank'])}; {joined}")
