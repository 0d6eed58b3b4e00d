"""Breadth-first exploration of a model's state space, and random walks in it."""

import hashlib
import pickle
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import msgspec

S = TypeVar("S")
_DIGEST_BYTES = 16


class Step(msgspec.Struct, Generic[S], frozen=True):
    """An enabled transition; `apply` modifies the state that it is given."""

    label: str
    apply: Callable[[S], None]


class Model(Protocol[S]):
    """A system whose states can be explored; its states must be picklable."""

    def initial(self) -> S:
        """Return the initial state."""
        ...

    def steps(self, state: S) -> list[Step[S]]:
        """Return the transitions enabled in `state`, which is not modified."""
        ...

    def fingerprint(self, state: S) -> bytes:
        """Return bytes that are equal for states with the same possible futures."""
        ...

    def violations(self, state: S) -> list[str]:
        """Return a message for each property that `state` violates."""
        ...


class Violation(msgspec.Struct, kw_only=True, frozen=True):
    """A violated property and the labels of the steps that lead to the violation."""

    message: str
    trace: list[str]


class Exploration(msgspec.Struct, kw_only=True):
    """Coverage and findings of an exploration.

    `complete` is set if every reachable state was explored.
    """

    states: int
    transitions: int
    depth: int
    complete: bool
    violations: list[Violation]


class _Visit(msgspec.Struct, frozen=True):
    """Parent state and step through which a state was first reached."""

    parent: bytes
    label: str


def explore(
    model: Model[S],
    *,
    depth: int,
    max_states: int = 10_000_000,
    max_violations: int = 1,
) -> Exploration:
    """Explore every state within `depth` steps of the initial one.

    Parameters
    ----------
    model : Model
        System to explore.
    depth : int
        Maximum number of steps from the initial state.
    max_states : int
        Number of distinct states after which the exploration stops.
    max_violations : int
        Number of violations after which the exploration stops.
    """
    initial_state = model.initial()
    root = _digest(model.fingerprint(initial_state))
    visits = {root: _Visit(b"", "")}
    frontier = [(root, pickle.dumps(initial_state, -1))]
    result = Exploration(
        states=1, transitions=0, depth=0, complete=False, violations=[]
    )
    while frontier and result.depth < depth:
        next_frontier: list[tuple[bytes, bytes]] = []
        for parent, data in frontier:
            for step in model.steps(pickle.loads(data)):
                state = pickle.loads(data)
                step.apply(state)
                result.transitions += 1
                digest = _digest(model.fingerprint(state))
                if digest in visits:
                    continue
                visits[digest] = _Visit(parent, step.label)
                next_frontier.append((digest, pickle.dumps(state, -1)))
                for message in model.violations(state):
                    trace = _trace(visits, digest)
                    result.violations.append(Violation(message=message, trace=trace))
                if len(result.violations) >= max_violations:
                    return _set_state_count(result, visits)
            if len(visits) >= max_states:
                return _set_state_count(result, visits)
        frontier = next_frontier
        result.depth += 1
    result.complete = not frontier
    return _set_state_count(result, visits)


def walk(
    model: Model[S], choose: Callable[[int], int], *, steps: int
) -> Violation | None:
    """Take up to `steps` steps and return the first violation, if any.

    Parameters
    ----------
    model : Model
        System to walk in.
    choose : callable
        Returns the index of the step to take, given the number of enabled steps.
    steps : int
        Maximum length of the walk.
    """
    state = model.initial()
    trace: list[str] = []
    for _ in range(steps):
        enabled = model.steps(state)
        if not enabled:
            return None
        step = enabled[choose(len(enabled))]
        step.apply(state)
        trace.append(step.label)
        for message in model.violations(state):
            return Violation(message=message, trace=trace)
    return None


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()


def _set_state_count(result: Exploration, visits: dict[bytes, _Visit]) -> Exploration:
    result.states = len(visits)
    return result


def _trace(visits: dict[bytes, _Visit], digest: bytes) -> list[str]:
    labels = []
    while visits[digest].label:
        labels.append(visits[digest].label)
        digest = visits[digest].parent
    return labels[::-1]
