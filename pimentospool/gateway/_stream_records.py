"""Exchange of the software versions at which streams began, between all entry VMs.

Records go to all entry VMs of a small region, and to the relays of a large one, which
forward them within it. Other regions get them too: callers of a region that was lost
come back there.
"""

from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import EntryRecord, StreamMessage
from pimentospool.ids import RegionId, SoftwareVersion, StreamKey
from pimentospool.policy import StreamVersions

MAX_KEYS_PER_MESSAGE = 250
"""Limit on the records in one datagram, so that it fits into a packet."""
MAX_MESSAGES_PER_ROUND = 4
MAX_RELAYED_KEYS = 5_000
"""Limit on the records of other entry VMs that wait for the next round."""


class StreamRecordExchange:
    """Records that this entry VM sends, and those that it forwards.

    Parameters
    ----------
    fleet : Fleet
        Membership of the entry VMs.
    versions : StreamVersions
        Versions at which streams began.
    """

    def __init__(self, *, fleet: Fleet, versions: StreamVersions) -> None:
        self._fleet = fleet
        self._versions = versions
        self._to_relay: dict[StreamKey, SoftwareVersion] = {}

    def receive(self, msg: StreamMessage) -> None:
        """Store the records of a message, and keep them if they are to be relayed."""
        self._versions.receive(msg.keys_by_version)
        if not msg.to_relay:
            return
        for version, keys in msg.keys_by_version.items():
            for key in keys:
                if len(self._to_relay) < MAX_RELAYED_KEYS:
                    self._to_relay[StreamKey(key)] = SoftwareVersion(version)

    def next_round(self) -> list[tuple[StreamMessage, list[EntryRecord]]]:
        """Return the messages of the next round, each with its receivers."""
        messages: list[tuple[StreamMessage, list[EntryRecord]]] = []
        relayed, self._to_relay = self._to_relay, {}
        if relayed:
            others = self._fleet.live(region=self._fleet.local_region)
            messages += [
                (StreamMessage(chunk), others) for chunk in _relayed_chunks(relayed)
            ]
        for _ in range(MAX_MESSAGES_PER_ROUND):
            unsent = self._versions.take_unsent(MAX_KEYS_PER_MESSAGE)
            if not unsent:
                break
            keys_by_version: dict[str, list[int]] = {
                version: list(keys) for version, keys in unsent.items()
            }
            for region in self._regions():
                receivers, are_relays = self._receivers(region)
                if receivers:
                    msg = StreamMessage(keys_by_version, to_relay=are_relays)
                    messages.append((msg, receivers))
        return messages

    def _regions(self) -> set[RegionId]:
        regions = {RegionId(record.region) for record in self._fleet.live()}
        return regions | {self._fleet.local_region}

    def _receivers(self, region: RegionId) -> tuple[list[EntryRecord], bool]:
        """Return the entry VMs of a region to send to, and whether they relay."""
        others = self._fleet.live(region=region)
        relays = self._fleet.relays(region)
        if not relays or self._fleet.local_record.key in relays:
            return others, False
        return [record for record in others if record.key in relays], True


def _relayed_chunks(
    relayed: dict[StreamKey, SoftwareVersion],
) -> list[dict[str, list[int]]]:
    items = list(relayed.items())
    chunks = []
    for start in range(0, len(items), MAX_KEYS_PER_MESSAGE):
        chunk: dict[str, list[int]] = {}
        for key, version in items[start : start + MAX_KEYS_PER_MESSAGE]:
            chunk.setdefault(version, []).append(key)
        chunks.append(chunk)
    return chunks
