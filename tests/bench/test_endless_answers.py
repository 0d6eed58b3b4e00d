"""Load and figures of `pimentospool bench endless-answers`."""

import pytest

from pimentospool.bench._endless_answers import (
    AnswerFraming,
    EndlessAnswersBench,
    EndlessAnswersCase,
    summarize,
)
from pimentospool.standins import CallEnd, PlatformCall


def ended(number, status, seconds):
    return PlatformCall(
        id=f"r-{number}",
        method="GET",
        path="/",
        body=b"",
        node=0,
        sent_at=10.0,
        ended_at=10.0 + seconds,
        end=CallEnd.ANSWERED,
        status=status,
    )


@pytest.mark.parametrize(
    ("statuses", "served", "refused", "slowest_seconds"),
    [([200, 200, 503, 502], 2, 1, 2), ([503, 503], 0, 2, None), ([], 0, 0, None)],
)
def test_only_served_calls_have_a_latency(statuses, served, refused, slowest_seconds):
    calls = [ended(index, status, index + 1) for index, status in enumerate(statuses)]
    case = EndlessAnswersCase(faulty_calls=0)
    figures = summarize(case, calls, [], peak_mb=60.0, used_cpu_seconds=1.0)
    assert (figures.served, figures.refused) == (served, refused)
    assert figures.slowest_seconds == slowest_seconds
    assert figures.faulty_seconds is None


@pytest.mark.parametrize("framing", AnswerFraming)
def test_sound_calls_are_served_beside_answers_without_end(runner, framing):
    case = EndlessAnswersCase(faulty_calls=12, sound_calls=12, framing=framing)
    figures = runner.run(EndlessAnswersBench(case=case).run())
    assert (figures.served, figures.refused) == (12, 0)
    assert figures.peak_mb < case.memory_mb
    assert figures.faulty_seconds > 0
