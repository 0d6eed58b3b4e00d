"""A request that crashes targets and comes again, through real sockets."""

import pytest
from crashing_site import crashing_site

MAX_LATER_ARRIVALS = 3
"""The platform's rule, from the contact time after the third crash on."""
PLAYED_SECONDS = 9.0


@pytest.mark.timeout(60)
@pytest.mark.parametrize(
    ("crash_path", "options"),
    [
        ("/look/again?page=3", {"service": "desk", "events": 0}),
        ("/ask/again", {"service": "llm", "events": 3}),
    ],
    ids=["body", "stream"],
)
def test_request_under_which_targets_crash_is_sent_no_more_and_others_are(
    runner, tmp_path, crash_path, options
):
    async def run():
        async with crashing_site(tmp_path, crash_path=crash_path, **options) as play:

            def send(number, node, path):
                prompt = f"f0:20,c{number % 3}:10,e{number:x}:10"
                headers = {"X-Token-Count": "40,10", "X-Prompt-Prefix": prompt}
                return play.send(
                    path,
                    node=node,
                    sound=path != crash_path,
                    method="POST" if options["events"] else "GET",
                    headers=headers if options["events"] else {},
                    data=path.encode() if options["events"] else None,
                )

            def requests_of(number, node):
                prefix = crash_path.rsplit("/", 1)[0]
                yield send(number, node, f"{prefix}/{number}")
                if number % 6 == 0:
                    yield send(number, node, crash_path)

            await play.play(PLAYED_SECONDS, requests_of)
        return play

    play = runner.run(run())
    later = play.late_arrivals(lambda req: req.path == crash_path, after_crashes=3)
    assert len(later) <= MAX_LATER_ARRIVALS
    recent = play.last_sound_statuses()
    assert recent.count(200) > 0.9 * len(recent)
