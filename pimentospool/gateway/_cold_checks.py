"""Asks targets whether they are cold, where their registrations do not say it."""

import asyncio
from collections.abc import Callable, Iterable

from pimentospool.gateway._connections import AnswerHead, WireRequest
from pimentospool.gateway._dialect import TargetDialect
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._pools import Pools
from pimentospool.gateway._routing_state import Knowledge, TargetState
from pimentospool.ids import EntryId, RegionId, TargetId, ZoneId
from pimentospool.policy import first_sender
from pimentospool.targets import AttemptFailure

ANSWER_SECONDS = 1.0
"""Longest wait for a target's answer; it is taken as cold then."""
POLL_SECONDS = 0.3
"""Time between checks of a target while no news of targets arrive. A cold target takes
a few requests a second, so that it must be found within a fraction of one."""
TOLD_SECONDS = 2.0
"""Time for which an answer is told to the other entry VMs of the region."""


class ColdChecks:
    """Health checks of targets that may have become cold unseen.

    A target whose zone was taken back may be cold or not, and while no news arrive any
    target may become so; only its own word says it. One entry VM of the region asks
    each target and tells the others.

    Parameters
    ----------
    region : RegionId
        Region whose targets are asked.
    knowledge : Knowledge
        Targets, and what is learnt of them.
    fleet : Fleet
        The entry VMs.
    pools : Pools
        Connections to the targets.
    dialect : TargetDialect
        Form of the check and its answer.
    clock : callable
        Returns the steady time in seconds.
    """

    def __init__(
        self,
        *,
        region: RegionId,
        knowledge: Knowledge,
        fleet: Fleet,
        pools: Pools,
        dialect: TargetDialect,
        clock: Callable[[], float],
    ) -> None:
        self._region = region
        self._knowledge = knowledge
        self._fleet = fleet
        self._pools = pools
        self._dialect = dialect
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()
        self._asked: set[TargetId] = set()
        self._answers: dict[TargetId, tuple[float, float]] = {}
        knowledge.zone_restored.connect(self._check_zone)

    def answers(self) -> dict[TargetId, float]:
        """Return how long targets that answered lately stay cold, in seconds."""
        now = self._clock()
        self._answers = {
            target: (told_at, until)
            for target, (told_at, until) in self._answers.items()
            if now - told_at < TOLD_SECONDS
        }
        return {
            target: max(0.0, until - now)
            for target, (_, until) in self._answers.items()
        }

    def _check_zone(self, zone: ZoneId) -> None:
        if self._knowledge.region_of(zone) == self._region:
            self._check_all(self._knowledge.assumed_cold(zone))

    async def run(self) -> None:
        """Ask targets for as long as no news of them arrive."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            configuration = self._knowledge.configuration
            if not self._knowledge.outdated or configuration is None:
                continue
            for service in configuration.services.values():
                if service.cold_seconds > 0:
                    states = self._knowledge.usable_targets(service.id, self._region)
                    self._check_all(states)

    def _check_all(self, states: Iterable[TargetState]) -> None:
        members = [EntryId(rec.id) for rec in self._fleet.ready(self._region)]
        for state in states:
            first = first_sender(state.id, members)
            if first == self._fleet.own_id and state.id not in self._asked:
                self._asked.add(state.id)
                task = asyncio.create_task(self._check(state))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _check(self, state: TargetState) -> None:
        configuration = self._knowledge.configuration
        assert configuration is not None
        service = configuration.services.get(state.registration.service)
        if service is None or not service.health_path:
            self._asked.discard(state.id)
            return
        pool = self._pools.to_target(state.registration, service)
        data = self._dialect.encode_health(state.registration, service.health_path)
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                conn = await pool.acquire()
                try:
                    stream = conn.send(WireRequest(data=data, accepts=_any_answer))
                    head = await stream.wait_head()
                    while await stream.read():
                        pass
                finally:
                    pool.release(conn)
        except (AttemptFailure, TimeoutError):
            # No answer leaves the assumption that the target is cold in force.
            return
        finally:
            self._asked.discard(state.id)
        seconds = self._dialect.cold_seconds(head)
        if seconds is not None:
            now = self._clock()
            self._answers[state.id] = (now, now + seconds)
            self._knowledge.learn_cold(state.id, seconds)


def _any_answer(head: AnswerHead) -> bool:
    return True
