"""Comparison of the catalogue in docs/events.md with the events in the code."""

import re
from pathlib import Path

from pimentospool.log import Event

ROOT = Path(__file__).resolve().parent.parent
ROW = re.compile(r"^\| (\d{4}) \| `([A-Z_]+)` \| (\w+) \|", re.MULTILINE)


def catalogue():
    text = (ROOT / "docs" / "events.md").read_text()
    return {(int(number), name) for number, name, _ in ROW.findall(text)}


def test_catalogue_lists_every_event_and_no_other():
    assert catalogue() == {(event.number, event.name) for event in Event}


def test_numbers_are_unique():
    numbers = [event.number for event in Event]
    assert len(numbers) == len(set(numbers))


def test_every_event_is_used():
    sources = [
        path.read_text()
        for path in (ROOT / "pimentospool").rglob("*.py")
        if path.name != "log.py"
    ]
    unused = [
        event.name
        for event in Event
        if not any(f"Event.{event.name}" in source for source in sources)
    ]
    assert unused == []
