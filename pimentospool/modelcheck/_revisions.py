"""Model of the active configuration: the real `RevisionBook` on a few nodes.

Reads of the platform may be stale and return any earlier revision. Two revisions with
the same number may be published. Nodes restart without state, and the link between
them is cut and restored while revision heads are in transit.
"""

from collections.abc import Callable
from functools import partial

import msgspec

from pimentospool._generated.peers import RevisionHead
from pimentospool.modelcheck._explorer import Step
from pimentospool.policy import RevisionBook, is_newer

PUBLISHED_HEADS = (
    RevisionHead(number=1, digest="a"),
    RevisionHead(number=2, digest="b"),
    RevisionHead(number=2, digest="c"),
    RevisionHead(number=3, digest="bad"),
)
"""Heads in the order of their publication; the last one fails validation."""
_INVALID_DIGEST = "bad"


class RevisionsCase(msgspec.Struct, kw_only=True, frozen=True):
    """Size of the modelled system and upper bounds on the events in it.

    `revisions` counts the heads of `PUBLISHED_HEADS` that are published. A node sends
    its head only while fewer than `messages` heads are in transit.
    """

    nodes: int = 2
    revisions: int = 4
    restarts: int = 1
    cuts: int = 1
    messages: int = 2


REVISIONS_CASES = {
    "two-nodes": RevisionsCase(),
    "three-nodes": RevisionsCase(nodes=3, revisions=3, messages=1),
}


class HeadMessage(msgspec.Struct, frozen=True, order=True):
    """A revision head in transit to a node."""

    node: int
    number: int
    digest: str


class RevisionsState:
    """Complete state of the model."""

    def __init__(self, *, books: list[RevisionBook]) -> None:
        self.books = books
        self.published = 0
        self.link_up = True
        self.messages: list[HeadMessage] = []
        self.restarts = 0
        self.cuts = 0
        self.violated_properties: set[str] = set()


class RevisionsModel:
    """Explorable model of the active configuration.

    Parameters
    ----------
    case : RevisionsCase
        Size of the modelled system.
    make_book : callable
        Creates a node's revision book; tests pass faulty ones.
    asks_peers : bool
        Whether a restarted node also asks its peers before it serves requests.
    """

    def __init__(
        self,
        *,
        case: RevisionsCase,
        make_book: Callable[[], RevisionBook] = RevisionBook,
        asks_peers: bool = True,
    ) -> None:
        self._case = case
        self._make_book = make_book
        self._asks_peers = asks_peers

    def initial(self) -> RevisionsState:
        """Return the state in which no revision is published."""
        return RevisionsState(
            books=[self._make_book() for _ in range(self._case.nodes)]
        )

    def fingerprint(self, state: RevisionsState) -> bytes:
        """Return bytes that are equal for states with the same possible futures."""
        books = [
            (book.active, sorted(_order_key(item.head) for item in book.refused))
            for book in state.books
        ]
        counts = (state.published, state.restarts, state.cuts)
        return msgspec.msgpack.encode(
            (
                books,
                state.link_up,
                sorted(state.messages),
                counts,
                sorted(state.violated_properties),
            )
        )

    def violations(self, state: RevisionsState) -> list[str]:
        """Return a message for each property that `state` violates."""
        return sorted(state.violated_properties)

    def steps(self, state: RevisionsState) -> list[Step[RevisionsState]]:
        """Return the transitions enabled in `state`."""
        steps = []
        if state.published < self._case.revisions:
            steps.append(_step("a revision is published", self._publish))
        for node in range(self._case.nodes):
            for revision in range(state.published):
                label = f"{node} reads revision {revision} from the platform"
                steps.append(_step(label, self._read_platform, node, revision))
            if state.link_up and len(state.messages) < self._case.messages:
                steps.append(
                    _step(f"{node} sends its head to its peers", self._send_head, node)
                )
            if state.restarts < self._case.restarts:
                for revision in range(state.published):
                    label = f"{node} restarts and reads revision {revision}"
                    steps.append(_step(label, self._restart, node, revision))
        for index in range(len(state.messages)):
            steps.append(_step("a head arrives", self._deliver_head, index))
            steps.append(_step("a head is lost", self._lose_head, index))
        if state.link_up and state.cuts < self._case.cuts:
            steps.append(_step("the link is cut", self._cut_link))
        if not state.link_up:
            steps.append(_step("the link is restored", self._restore_link))
        return steps

    def _publish(self, state: RevisionsState) -> None:
        state.published += 1

    def _read_platform(self, state: RevisionsState, node: int, revision: int) -> None:
        self._apply_head(state, node, PUBLISHED_HEADS[revision])

    def _send_head(self, state: RevisionsState, node: int) -> None:
        head = state.books[node].active
        for other in range(self._case.nodes):
            if other != node:
                state.messages.append(HeadMessage(other, head.number, head.digest))

    def _deliver_head(self, state: RevisionsState, index: int) -> None:
        message = state.messages.pop(index)
        head = RevisionHead(number=message.number, digest=message.digest)
        self._apply_head(state, message.node, head)

    def _lose_head(self, state: RevisionsState, index: int) -> None:
        del state.messages[index]

    def _cut_link(self, state: RevisionsState) -> None:
        state.cuts += 1
        state.link_up = False

    def _restore_link(self, state: RevisionsState) -> None:
        state.link_up = True

    def _restart(self, state: RevisionsState, node: int, revision: int) -> None:
        state.restarts += 1
        state.books[node] = self._make_book()
        self._apply_head(state, node, PUBLISHED_HEADS[revision])
        if not state.link_up:
            return
        peers = [book.active for other, book in enumerate(state.books) if other != node]
        for head in peers if self._asks_peers else []:
            if head.number:
                self._apply_head(state, node, head)
        if any(is_newer(head, state.books[node].active) for head in peers):
            state.violated_properties.add(
                "a restarted node serves an older revision than its peers"
            )

    def _apply_head(self, state: RevisionsState, node: int, head: RevisionHead) -> None:
        book = state.books[node]
        before = book.active
        if book.wants(head):
            if head.digest == _INVALID_DIGEST:
                book.refuse(head, ["refused"])
            else:
                book.accept(head)
        after = book.active
        if _order_key(after) < _order_key(before):
            state.violated_properties.add("a node returned to an older revision")
        if after.digest == _INVALID_DIGEST:
            state.violated_properties.add("a refused revision is active")
        if head.digest != _INVALID_DIGEST and _order_key(after) < _order_key(head):
            state.violated_properties.add("a node ignored a newer revision")


def _order_key(head: RevisionHead) -> tuple[int, str]:
    return (head.number, head.digest)


def _step(label: str, act: Callable[..., None], *args: int) -> Step[RevisionsState]:
    return Step(label, partial(_apply, act, args))


def _apply(
    act: Callable[..., None], args: tuple[int, ...], state: RevisionsState
) -> None:
    act(state, *args)
