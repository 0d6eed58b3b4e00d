"""Headers that name an entry VM at one end of a hop, and its configuration."""

from pimentospool.gateway import ConfigurationStamp, HopOrigin
from pimentospool.ids import EntryId
from pimentospool.platform._headers import (
    HOP_CONFIGURATION_HEADER,
    HOP_ENTRY_HEADER,
    HOP_REROUTE_HEADER,
)
from pimentospool.platform._numbers import parse_count


def encode_hop_origin(origin: HopOrigin) -> list[tuple[bytes, bytes]]:
    """Return the headers that name an entry VM and its configuration."""
    stamp = origin.stamp
    return [
        (HOP_ENTRY_HEADER, origin.entry.encode()),
        (HOP_CONFIGURATION_HEADER, b"%d.%d" % (stamp.version, stamp.era)),
        (HOP_REROUTE_HEADER, b"%d" % origin.can_reroute),
    ]


def decode_hop_origin(
    entry: str | None, configuration: str | None, reroute: str | None = None
) -> HopOrigin | None:
    """Return the entry VM that headers name, None if they name none."""
    version_text, _, era_text = (configuration or "").partition(".")
    version, era = parse_count(version_text), parse_count(era_text)
    if entry is None or version is None or era is None:
        return None
    return HopOrigin(
        entry=EntryId(entry),
        stamp=ConfigurationStamp(version, era),
        can_reroute=reroute == "1",
    )
