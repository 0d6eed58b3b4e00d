"""Breadth-first exploration of a model's states, and walks through them."""

import hashlib
import pickle
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import msgspec

S = TypeVar("S")
_DIGEST_BYTES = 16


class Step(msgspec.Struct, Generic[S], frozen=True):
    """Something that may happen next; `apply` changes the state it is given."""

    label: str
    apply: Callable[[S], None]


class Model(Protocol[S]):
    """A system whose states can be explored; states must pickle."""

    def initial(self) -> S:
        """Return the first state."""
        ...

    def steps(self, state: S) -> list[Step[S]]:
        """Return everything that may happen next; `state` is not changed."""
        ...

    def fingerprint(self, state: S) -> bytes:
        """Return bytes that are equal for states with the same future."""
        ...

    def violations(self, state: S) -> list[str]:
        """Return the properties that `state` breaks."""
        ...


class Violation(msgspec.Struct, kw_only=True, frozen=True):
    """A broken property and the steps that lead there."""

    message: str
    trace: list[str]


class Exploration(msgspec.Struct, kw_only=True):
    """What an exploration covered.

    `complete` is set if no state was left unexplored.
    """

    states: int
    transitions: int
    depth: int
    complete: bool
    violations: list[Violation]


class _Visit(msgspec.Struct, frozen=True):
    """How a state was first reached."""

    parent: bytes
    label: str


def explore(
    model: Model[S],
    *,
    depth: int,
    max_states: int = 10_000_000,
    max_violations: int = 1,
) -> Exploration:
    """Explore every state up to `depth` steps from the first one.

    Parameters
    ----------
    model : Model
        System to explore.
    depth : int
        Steps from the first state.
    max_states : int
        Distinct states after which the exploration ends.
    max_violations : int
        Violations after which the exploration ends.
    """
    first = model.initial()
    root = _digest(model.fingerprint(first))
    visits = {root: _Visit(b"", "")}
    frontier = [(root, pickle.dumps(first, -1))]
    found = Exploration(states=1, transitions=0, depth=0, complete=False, violations=[])
    while frontier and found.depth < depth:
        following: list[tuple[bytes, bytes]] = []
        for parent, data in frontier:
            for step in model.steps(pickle.loads(data)):
                state = pickle.loads(data)
                step.apply(state)
                found.transitions += 1
                digest = _digest(model.fingerprint(state))
                if digest in visits:
                    continue
                visits[digest] = _Visit(parent, step.label)
                following.append((digest, pickle.dumps(state, -1)))
                for message in model.violations(state):
                    trace = _trace(visits, digest)
                    found.violations.append(Violation(message=message, trace=trace))
                if len(found.violations) >= max_violations:
                    return _close(found, visits)
            if len(visits) >= max_states:
                return _close(found, visits)
        frontier = following
        found.depth += 1
    found.complete = not frontier
    return _close(found, visits)


def walk(
    model: Model[S], choose: Callable[[int], int], *, steps: int
) -> Violation | None:
    """Take up to `steps` chosen steps and return the first violation.

    Parameters
    ----------
    model : Model
        System to walk through.
    choose : callable
        Given the number of steps that may happen next, returns the index of one.
    steps : int
        Longest walk.
    """
    state = model.initial()
    trace: list[str] = []
    for _ in range(steps):
        possible = model.steps(state)
        if not possible:
            return None
        step = possible[choose(len(possible))]
        step.apply(state)
        trace.append(step.label)
        for message in model.violations(state):
            return Violation(message=message, trace=trace)
    return None


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()


def _close(found: Exploration, visits: dict[bytes, _Visit]) -> Exploration:
    found.states = len(visits)
    return found


def _trace(visits: dict[bytes, _Visit], digest: bytes) -> list[str]:
    labels = []
    while visits[digest].label:
        labels.append(visits[digest].label)
        digest = visits[digest].parent
    return labels[::-1]
