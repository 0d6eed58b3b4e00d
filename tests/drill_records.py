"""Factory of callers' records for tests of the promise checker and the report."""

from pathlib import Path

from pimentospool.load import AttemptRecord, CallerRecord, CallKind, CallOutcome
from pimentospool.manifest import read_manifest

EXAMPLES = Path(__file__).resolve().parents[1] / "examples"
MANIFEST = read_manifest(EXAMPLES / "magnolia" / "manifest.toml")
ENTRIES = {"g1": "gulf", "g2": "gulf", "p1": "piedmont", "d1": "delta"}


def make_record(name, *, at=0.0, customer="stores-gulf", **changes):
    entry = changes.pop("entry", "g1")
    seconds = changes.pop("seconds", 0.1)
    verdict = changes.pop("verdict", "")
    outcome = changes.pop("outcome", CallOutcome.WHOLE)
    attempt = AttemptRecord(
        entry=entry,
        sent_at=at,
        ended_at=at + seconds,
        outcome=outcome,
        request_id=f"r-{name}",
        verdict=verdict,
    )
    fields = {
        "id": name,
        "customer": customer,
        "region": "gulf",
        "kind": CallKind.SHORT,
        "intended_at": at,
        "ended_at": at + seconds,
        "outcome": outcome,
        "body_digest": f"d-{name}",
        "attempts": [attempt],
    }
    return CallerRecord(**{**fields, **changes})
