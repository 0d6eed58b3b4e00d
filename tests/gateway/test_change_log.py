"""Changes that are kept for entry VMs that follow this one."""

from gateway_factories import make_configuration, make_registration

from pimentospool.gateway import (
    ConfigurationPublished,
    DatedFact,
    FactBatch,
    FactPosition,
    TargetRegistered,
)
from pimentospool.gateway._change_log import MAX_FACTS, ChangeLog


def batch(*revisions, era=1, last=None):
    facts = [
        DatedFact(number, TargetRegistered(make_registration(f"i-{number}")))
        for number in revisions
    ]
    return FactBatch(FactPosition(era, last or revisions[-1]), facts)


START = FactPosition(1, 10)


def make_log(position=START):
    log = ChangeLog()
    log.restart(position)
    return log


def test_returns_all_changes_after_a_position():
    log = make_log()
    log.append(batch(11, 12))
    log.append(batch(15, last=17))
    answer = log.after(FactPosition(1, 11))
    assert [dated.revision for dated in answer.facts] == [12, 15]
    assert answer.position == FactPosition(1, 17)
    assert log.after(FactPosition(1, 17)).facts == []


def test_positions_before_the_log_or_of_another_era_are_refused():
    log = make_log()
    assert log.after(FactPosition(1, 9)) is None
    assert log.after(FactPosition(0, 10)) is None
    assert log.after(FactPosition(2, 10)) is None
    assert ChangeLog().after(FactPosition(1, 10)) is None
    log.restart(FactPosition(2, 5))
    assert log.after(FactPosition(1, 10)) is None


def test_old_changes_are_dropped_and_no_longer_served():
    log = make_log(FactPosition(1, 0))
    for number in range(1, MAX_FACTS + 3):
        log.append(batch(number))
    assert log.after(FactPosition(1, 1)) is None
    assert len(log.after(FactPosition(1, 2)).facts) == MAX_FACTS


def test_only_the_newest_configuration_is_kept():
    log = make_log()
    for number in (11, 12):
        fact = ConfigurationPublished(make_configuration(version=number))
        position = FactPosition(1, number)
        log.append(FactBatch(position, [DatedFact(number, fact)]))
    (kept,) = log.after(FactPosition(1, 10)).facts
    assert kept.fact.configuration.version == 12
