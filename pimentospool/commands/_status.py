"""`pimentospool status`."""

import sys

import aiohttp
import click
import msgspec
from rich.console import Console
from rich.table import Table

from pimentospool._generated.status import EntryStatus
from pimentospool.commands._common import EXIT_FAILED, run
from pimentospool.sending import open_session
from pimentospool.status import STATUS_PATH

_TIMEOUT_SECONDS = 5.0


@click.command()
@click.argument("admin_address")
@click.option("--json", "as_json", is_flag=True, help="Print the whole status.")
def status(admin_address: str, as_json: bool) -> None:
    """Show the state of the entry process at ADMIN_ADDRESS (IP:port)."""
    try:
        data = run(_read(admin_address))
        decoded = msgspec.json.decode(data, type=EntryStatus)
    except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError) as exc:
        reason = str(exc) or type(exc).__name__
        click.echo(f"{admin_address}: no status: {reason}", err=True)
        sys.exit(EXIT_FAILED)
    if as_json:
        click.echo(msgspec.json.format(data).decode())
    else:
        _print_status(decoded)


async def _read(address: str) -> bytes:
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
    async with (
        open_session(timeout=timeout) as session,
        session.get(f"http://{address}{STATUS_PATH}", raise_for_status=True) as resp,
    ):
        return await resp.read()


def _print_status(status: EntryStatus) -> None:
    console = Console(width=100, highlight=False)
    console.print(_make_summary(status))
    console.print(_make_members_table(status))
    console.print(_make_zones_table(status))


def _make_summary(status: EntryStatus) -> Table:
    table = Table(title=f"{status.entry} ({status.zone}, {status.region})")
    table.add_column("what")
    table.add_column("state")
    revision, platform = status.revision, status.platform
    table.add_row("state", _describe_state(status))
    table.add_row(
        "revision",
        f"{revision.number} ({revision.digest[:12]}), "
        f"active for {_format_age(revision.age_seconds)}",
    )
    for refused_revision in revision.refused:
        faults = "\n".join(refused_revision.faults)
        table.add_row(f"refused revision {refused_revision.number}", faults)
    source = "read by this process" if platform.reader else "reported by peers"
    last_contact = _format_age(platform.configuration_age_seconds)
    table.add_row("configuration service", f"{source}; last contact {last_contact} ago")
    last_read = _format_age(platform.vm_list_age_seconds)
    table.add_row("VM list", f"last read by this process {last_read} ago")
    table.add_row("requests in progress", str(status.in_progress))
    leaving = ", ".join(status.leaving_targets) or "none"
    table.add_row("targets", f"{status.targets}; leaving: {leaving}")
    for window in status.drill_windows:
        regions = ", ".join(window.regions)
        table.add_row("drill window", f"{window.kind} {regions} until {window.end:.0f}")
    return table


def _describe_state(status: EntryStatus) -> str:
    if status.leaving:
        return "leaving"
    return "checking its view after a pause" if status.doubtful else "serving"


def _make_members_table(status: EntryStatus) -> Table:
    table = Table(title="entry VMs of this zone")
    for name in ("id", "state", "incarnation"):
        table.add_column(name)
    for member in status.members:
        table.add_row(member.id, member.state, str(member.incarnation))
    return table


def _make_zones_table(status: EntryStatus) -> Table:
    table = Table(title="other availability zones")
    for name in ("zone", "region", "entry VMs", "last sign of life", "reachable"):
        table.add_column(name)
    for zone in status.zones:
        table.add_row(
            zone.zone,
            zone.region,
            str(zone.entries),
            _format_age(zone.age_seconds),
            "yes" if zone.reachable else "no",
        )
    return table


def _format_age(age: float) -> str:
    return "never" if age < 0 else f"{age:.1f} s"
