"""Progress is shown on a terminal and nowhere else."""

import os
import pty
import sys

from pimentospool.commands._progress import working


def shown(monkeypatch, stream):
    monkeypatch.setattr(sys, "stderr", stream)
    with working("counting"):
        pass


def test_terminal_shows_the_message(monkeypatch):
    monkeypatch.setenv("TERM", "xterm")
    reader, writer = pty.openpty()
    with os.fdopen(writer, "w") as stream:
        shown(monkeypatch, stream)
        stream.flush()
        assert b"counting" in os.read(reader, 65536)
    os.close(reader)


def test_file_shows_nothing(monkeypatch, tmp_path):
    path = tmp_path / "log"
    with path.open("w") as stream:
        shown(monkeypatch, stream)
    assert path.read_text() == ""
