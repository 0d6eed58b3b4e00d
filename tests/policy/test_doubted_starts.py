"""Doubts of the entry VMs of a region whether targets are in their known starts."""

import pytest

from pimentospool.policy import DoubtedStarts


class Member:
    """One entry VM that knows the target ``t`` in its start 1."""

    def __init__(self, key):
        self.now = 100.0
        self.news = 0
        self.doubted = DoubtedStarts(
            own=key, clock=lambda: self.now, on_news=self.count_news
        )
        self.doubted.register("t", 1, tells_cold=False, cold_seconds=3.0)

    def count_news(self):
        self.news += 1

    def receive(self, member, key):
        return self.doubted.receive(
            key, member.doubted.notices(), member.doubted.proofs()
        )


# Each renewal was relayed at once, to a whole region, while a target was down.
@pytest.mark.parametrize("reached", [False, True])
def test_renewed_doubt_is_news_only_once_the_target_was_reached(reached):
    sender, receiver = Member(1), Member(2)
    sender.doubted.record_doubt("t")
    assert receiver.receive(sender, 1)
    if reached:
        receiver.doubted.record_reached("t", cold_seconds=3.0)
    sender.doubted.record_doubt("t")
    assert sender.news == 1
    assert receiver.receive(sender, 1) is reached


# All entry VMs lose contact if all targets of a region start again at once.
def test_doubt_that_was_told_lasts_if_its_entry_vm_then_loses_contact():
    sender, receiver = Member(1), Member(2)
    sender.doubted.record_doubt("t")
    receiver.receive(sender, 1)
    receiver.doubted.receive(1, sender.doubted.notices(in_contact=False), {})
    assert receiver.doubted.is_doubted("t")
