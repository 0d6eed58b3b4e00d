"""`pimentospool explain`: from a request's id and captured logs to its cause."""

import json

import pytest
from click.testing import CliRunner

from pimentospool.commands._explain import explain


def line(at_second, name, **fields):
    at = f"2026-02-27T21:17:{at_second:06.3f}"
    return json.dumps({"time": at, "level": "INFO", "name": name, **fields})


def placed(seconds, **fields):
    return line(seconds, "REQUEST_PLACED", request="r-1", attempt=1, **fields)


def failed(seconds, verdict, **fields):
    return line(seconds, "REQUEST_FAILED", request="r-1", verdict=verdict, **fields)


@pytest.fixture
def tell(tmp_path):
    def run(request_id="r-1", **logs):
        paths = []
        for process, lines in logs.items():
            path = tmp_path / f"{process}.log"
            path.write_text("\n".join(lines) + "\n")
            paths.append(str(path))
        return CliRunner().invoke(explain, [request_id, *paths])

    return run


def test_refusal_at_overload_names_load_and_reason(tell):
    result = tell(
        gulf=[
            placed(1.0, target="i-1", running=37, waiting_tokens=8345),
            line(
                1.2,
                "ATTEMPT_FAILED",
                request="r-1",
                target="i-1",
                verdict="not-run",
                cause="unreachable",
                detail="no connection",
            ),
            failed(1.3, "not-run", detail="a first byte is expected in 1.28 s"),
            line(1.25, "TARGET_EJECTED", target="i-1"),
            line(1.25, "TARGET_EJECTED", target="i-9"),
            placed(1.4).replace("r-1", "r-2"),
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


def test_request_over_two_entry_vms_reads_as_one(tell):
    result = tell(
        delta=[
            placed(1.0, region="gulf", wait_seconds=0.02),
            failed(3.2, "may-have-run", reason="failed", detail="refused with 502"),
        ],
        gulf=[
            placed(1.1, target="i-1"),
            line(
                3.0,
                "ATTEMPT_FAILED",
                request="r-1",
                target="i-1",
                verdict="may-have-run",
                cause="broken",
            ),
            failed(3.1, "may-have-run", reason="failed"),
        ],
    )
    order = [row.split()[2] for row in result.output.splitlines() if " s  " in row]
    assert order == ["delta", "gulf", "gulf", "gulf", "delta"]
    assert "refused with 502; whether it ran: may-have-run" in result.output
    assert "the connection to it was lost" in result.output
    assert "another region's entry VM" in result.output


def test_stream_that_its_caller_left_names_the_silent_place(tell):
    left = {"place": "gulf", "silent_seconds": 2.4, "seconds": 5.5, "events": 40}
    result = tell(
        delta=[
            placed(1.0, region="gulf"),
            line(6.5, "CALLER_LEFT", request="r-1", **left),
            line(7.0, "MEMBER_CHANGED", entry="gulf-1", state="gone"),
            line(60.0 - 0.001, "MEMBER_CHANGED", entry="gulf-2", state="gone"),
        ]
    )
    assert "the last 2.4 s without an event from gulf" in result.output
    assert "entry=gulf-1 state=gone" in result.output
    assert "gulf-2" not in result.output


def test_lines_of_several_processes_in_one_file(tell):
    rows = [f"   0.07 gulf-{n} {placed(n, target='i-1')}" for n in (1, 2)]
    result = tell(all=rows)
    assert "gulf-1  REQUEST_PLACED" in result.output
    assert "gulf-2  REQUEST_PLACED" in result.output


def test_log_that_was_cut_says_so(tell):
    result = tell(gulf=[placed(1.0, target="i-1"), failed(1.3, "not-run")[:60]])
    assert result.exit_code == 0
    assert "no end of this request" in result.output
    assert "could not be read: 1" in result.output


def test_dropped_lines_are_named(tell):
    lost = line(1.1, "LOG_LINES_LOST", lost={"REQUEST_PLACED": 4})
    result = tell(gulf=[placed(1.0, target="i-1"), lost])
    assert "story may have gaps" in result.output


@pytest.mark.parametrize(
    ("lines", "told"),
    [
        ([placed(1.0, target="i-1")], "among 1 events from 2026-02-27T21:17:01"),
        (["Traceback (most recent call last):"], "no event in these logs"),
    ],
)
def test_unknown_request_ends_with_1(tell, lines, told):
    result = tell("r-7", gulf=lines)
    assert result.exit_code == 1
    assert told in result.output
