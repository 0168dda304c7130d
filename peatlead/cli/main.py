"""The root of all commands."""

import click


@click.group()
@click.version_option(package_name="peatlead")
def main() -> None:
    """Steers traffic by publishing weights to plain proxies and DNS clients."""
