"""Progress is shown only if standard error is a terminal."""

import os
import pty
import sys

from pimentospool.commands._progress import progress_spinner


def show_progress(monkeypatch, stream):
    monkeypatch.setattr(sys, "stderr", stream)
    with progress_spinner("counting"):
        pass


def test_terminal_shows_the_message(monkeypatch):
    monkeypatch.setenv("TERM", "xterm")
    reader, writer = pty.openpty()
    with os.fdopen(writer, "w") as stream:
        show_progress(monkeypatch, stream)
        stream.flush()
        assert b"counting" in os.read(reader, 65536)
    os.close(reader)


def test_nothing_is_written_to_a_file(monkeypatch, tmp_path):
    path = tmp_path / "log"
    with path.open("w") as stream:
        show_progress(monkeypatch, stream)
    assert path.read_text() == ""
