"""Prompts with a part under which targets crash, through real sockets."""

import pytest
from crashing_site import crashing_site

MAX_LATER_ARRIVALS = 3
"""The platform's rule, from the contact time after the fifth crash on."""
PLAYED_SECONDS = 9.0
CRASHING_PART = "bad0"
FIRST_PART = "f0"


def prompt_headers(number, middle_part):
    """Return the headers of a prompt that shares its first part with all others."""
    return {
        "X-Token-Count": "40,10",
        "X-Prompt-Prefix": f"{FIRST_PART}:20,{middle_part}:10,e{number:x}:10",
    }


@pytest.mark.timeout(60)
def test_part_under_which_targets_crash_is_sent_no_more_and_others_are(
    runner, tmp_path
):
    async def run():
        async with crashing_site(tmp_path, crash_part=CRASHING_PART) as play:

            def send(number, node, part):
                return play.send(
                    "/ask/",
                    node=node,
                    sound=part != CRASHING_PART,
                    method="POST",
                    headers=prompt_headers(number, part),
                    data=f"{number} {part}".encode(),
                )

            def requests_of(number, node):
                yield send(number, node, f"c{number % 6}")
                if number % 4 == 0:
                    yield send(number, node, CRASHING_PART)

            await play.play(PLAYED_SECONDS, requests_of)
        return play

    play = runner.run(run())
    later = play.late_arrivals(
        lambda req: CRASHING_PART in req.shared_parts, after_crashes=5
    )
    assert len(later) <= MAX_LATER_ARRIVALS
    recent = play.last_sound_statuses()
    assert recent.count(200) > 0.9 * len(recent)
