"""The root command."""

import click


@click.group()
@click.version_option(package_name="peatlead")
def main() -> None:
    """Distribute requests by publishing endpoint weights to proxies and DNS clients."""
