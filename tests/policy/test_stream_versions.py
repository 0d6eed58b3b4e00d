from pimentospool.policy import StreamVersions
from pimentospool.policy._stream_versions import MAX_STREAM_SECONDS, SENDS_PER_RECORD


class Fixture:
    """Entry VMs that see the same targets, with one clock."""

    def __init__(self):
        self.now = 100.0
        self.serving = {"v1"}
        self.mixed = []

    def start(self, *, first_start=False):
        made = StreamVersions(
            clock=lambda: self.now,
            serving=lambda service: set(self.serving),
            first_start=first_start,
            on_mixed=lambda service, mixed: self.mixed.append(mixed),
        )
        for version in self.serving:
            made.observe("llm", version)
        return made


def test_sole_version_is_known_from_the_first_start_of_all():
    entry = Fixture().start(first_start=True)
    assert entry.version_of("llm", "unknown") == "v1"
    assert entry.version_of("llm", None) == "v1"


def test_sole_version_is_unknown_until_no_earlier_stream_can_be_taken_up():
    fixture = Fixture()
    entry = fixture.start()
    assert entry.version_of("llm", "unknown") is None
    fixture.now += MAX_STREAM_SECONDS
    assert entry.version_of("llm", "unknown") == "v1"


def test_version_that_left_counts_as_long_as_its_streams_may_be_taken_up():
    fixture = Fixture()
    entry = fixture.start(first_start=True)
    entry.version_of("llm", None)
    fixture.serving = {"v2"}
    assert entry.version_of("llm", "unknown") is None
    fixture.now += MAX_STREAM_SECONDS
    assert entry.version_of("llm", "unknown") == "v2"
    assert fixture.mixed == [True, False]


def test_record_holds_while_its_stream_may_be_taken_up():
    fixture = Fixture()
    entry = fixture.start()
    entry.record("llm", "s-1", "v1")
    fixture.serving = {"v2"}
    fixture.now += MAX_STREAM_SECONDS - 1.0
    assert entry.version_of("llm", "s-1") == "v1"
    assert entry.version_of("other", "s-1") is None
    fixture.now += 1.0
    assert entry.version_of("llm", "s-1") != "v1"


def test_records_are_sent_only_while_others_may_need_them():
    fixture = Fixture()
    entry, other = fixture.start(first_start=True), fixture.start()
    entry.record("llm", "s-1", "v1")
    assert not entry.take_unsent(10)
    fixture.serving = {"v1", "v2"}
    sent = [entry.take_unsent(10) for _ in range(SENDS_PER_RECORD + 1)]
    assert all(sent[:-1])
    assert not sent[-1]
    other.receive(sent[0])
    assert other.version_of("llm", "s-1") == "v1"


def test_records_of_a_fleet_that_restarted_are_sent_though_one_version_serves():
    entry = Fixture().start()
    entry.record("llm", "s-1", "v1")
    assert entry.take_unsent(10)


def test_message_takes_the_newest_records_first_and_the_others_later():
    entry = Fixture().start()
    for number in range(5):
        entry.record("llm", f"s-{number}", "v1")
    taken = []
    while unsent := entry.take_unsent(2):
        taken += unsent["v1"]
    assert len(taken) == 5 * SENDS_PER_RECORD


def test_restarted_entry_learns_versions_and_records_from_one_that_ran_on():
    fixture = Fixture()
    survivor = fixture.start(first_start=True)
    survivor.version_of("llm", None)
    fixture.serving = {"v2"}
    survivor.observe("llm", "v2")
    survivor.record("llm", "s-1", "v1")
    fixture.now += 2.0
    restarted = fixture.start()
    assert restarted.version_of("llm", "s-1") is None
    restarted.merge(survivor.knowledge())
    assert restarted.complete
    assert restarted.version_of("llm", "s-1") == "v1"
    assert restarted.version_of("llm", "unknown") is None


def test_knowledge_of_entries_that_restarted_together_is_incomplete():
    fixture = Fixture()
    first, second = fixture.start(), fixture.start()
    fixture.now += 5.0
    first.merge(second.knowledge())
    assert not first.complete
    assert first.version_of("llm", "unknown") is None
