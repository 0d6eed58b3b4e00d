"""`pimentospool explain`: the timeline of a request, from captured logs."""

import json

import pytest
from click.testing import CliRunner

from pimentospool.commands._explain import explain


def line(at_second, name, **fields):
    at = f"2026-02-27T21:17:{at_second:06.3f}"
    return json.dumps({"time": at, "level": "INFO", "name": name, **fields})


def placed_line(seconds, **fields):
    return line(seconds, "REQUEST_PLACED", request="r-1", attempt=1, **fields)


def failed_line(seconds, verdict, **fields):
    return line(seconds, "REQUEST_FAILED", request="r-1", verdict=verdict, **fields)


@pytest.fixture
def run_explain(tmp_path):
    def invoke(request_id="r-1", **logs):
        paths = []
        for process, lines in logs.items():
            path = tmp_path / f"{process}.log"
            path.write_text("\n".join(lines) + "\n")
            paths.append(str(path))
        return CliRunner().invoke(explain, [request_id, *paths])

    return invoke


def test_refusal_under_overload_shows_load_and_reason(run_explain):
    result = run_explain(
        gulf=[
            placed_line(1.0, target="i-1", running=37, waiting_tokens=8345),
            line(
                1.2,
                "ATTEMPT_FAILED",
                request="r-1",
                target="i-1",
                verdict="not-run",
                cause="unreachable",
                detail="no connection",
            ),
            failed_line(1.3, "not-run", detail="a first byte is expected in 1.28 s"),
            line(1.25, "TARGET_EJECTED", target="i-1"),
            line(1.25, "TARGET_EJECTED", target="i-9"),
            placed_line(1.4).replace("r-1", "r-2"),
        ]
    )
    assert result.exit_code == 0
    assert "running=37 waiting_tokens=8345" in result.output
    assert "+0.250 s  gulf  TARGET_EJECTED target=i-1" in result.output
    assert "i-9" not in result.output
    assert "no connection to it was made" in result.output
    assert (
        "a first byte is expected in 1.28 s; whether it ran: not-run" in result.output
    )


def test_request_through_two_entry_vms_is_one_timeline(run_explain):
    result = run_explain(
        delta=[
            placed_line(1.0, region="gulf", wait_seconds=0.02),
            failed_line(
                3.2, "may-have-run", reason="failed", detail="refused with 502"
            ),
        ],
        gulf=[
            placed_line(1.1, target="i-1"),
            line(
                3.0,
                "ATTEMPT_FAILED",
                request="r-1",
                target="i-1",
                verdict="may-have-run",
                cause="broken",
            ),
            failed_line(3.1, "may-have-run", reason="failed"),
        ],
    )
    order = [row.split()[2] for row in result.output.splitlines() if " s  " in row]
    assert order == ["delta", "gulf", "gulf", "gulf", "delta"]
    assert "refused with 502; whether it ran: may-have-run" in result.output
    assert "the connection to it was lost" in result.output
    assert "another region's entry VM" in result.output


def test_disconnect_of_the_caller_shows_the_silent_destination(run_explain):
    disconnect_fields = {
        "place": "gulf",
        "silent_seconds": 2.4,
        "seconds": 5.5,
        "events": 40,
    }
    result = run_explain(
        delta=[
            placed_line(1.0, region="gulf"),
            line(6.5, "CALLER_LEFT", request="r-1", **disconnect_fields),
            line(7.0, "MEMBER_CHANGED", entry="gulf-1", state="gone"),
            line(60.0 - 0.001, "MEMBER_CHANGED", entry="gulf-2", state="gone"),
        ]
    )
    assert "the last 2.4 s without an event from gulf" in result.output
    assert "entry=gulf-1 state=gone" in result.output
    assert "gulf-2" not in result.output


def test_lines_of_several_processes_in_one_file(run_explain):
    rows = [f"   0.07 gulf-{n} {placed_line(n, target='i-1')}" for n in (1, 2)]
    result = run_explain(all=rows)
    assert "gulf-1  REQUEST_PLACED" in result.output
    assert "gulf-2  REQUEST_PLACED" in result.output


def test_truncated_log_is_reported(run_explain):
    result = run_explain(
        gulf=[placed_line(1.0, target="i-1"), failed_line(1.3, "not-run")[:60]]
    )
    assert result.exit_code == 0
    assert "no end of this request" in result.output
    assert "could not be read: 1" in result.output


def test_dropped_log_lines_are_reported(run_explain):
    lost = line(1.1, "LOG_LINES_LOST", lost={"REQUEST_PLACED": 4})
    result = run_explain(gulf=[placed_line(1.0, target="i-1"), lost])
    assert "timeline may have gaps" in result.output


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        ([placed_line(1.0, target="i-1")], "among 1 events from 2026-02-27T21:17:01"),
        (["Traceback (most recent call last):"], "no event in these logs"),
    ],
)
def test_unknown_request_exits_with_1(run_explain, lines, expected):
    result = run_explain("r-7", gulf=lines)
    assert result.exit_code == 1
    assert expected in result.output
