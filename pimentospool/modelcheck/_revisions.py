"""Model of the configuration in force: the real revision book at a few nodes.

The platform may be read late, so that it shows any earlier revision; two revisions
of one number may be published to two sides; nodes are restarted with nothing, and
the link between them is cut and healed while heads are on their way.
"""

from collections.abc import Callable
from functools import partial

import msgspec

from pimentospool._generated.peers import RevisionHead
from pimentospool.modelcheck._explorer import Step
from pimentospool.policy import RevisionBook, is_newer

PUBLISHED = (
    RevisionHead(number=1, digest="a"),
    RevisionHead(number=2, digest="b"),
    RevisionHead(number=2, digest="c"),
    RevisionHead(number=3, digest="bad"),
)
_REFUSED_DIGEST = "bad"


class RevisionsCase(msgspec.Struct, kw_only=True, frozen=True):
    """Size of the world and the bounds on what happens in it."""

    nodes: int = 2
    revisions: int = 4
    restarts: int = 1
    cuts: int = 1
    messages: int = 2


REVISIONS_CASES = {
    "two-nodes": RevisionsCase(),
    "three-nodes": RevisionsCase(nodes=3, revisions=3, messages=1),
}


class Head(msgspec.Struct, frozen=True, order=True):
    """A revision's head on its way to a node."""

    node: int
    number: int
    digest: str


class RevisionsWorld:
    """Everything that the model tracks."""

    def __init__(self, *, books: list[RevisionBook]) -> None:
        self.books = books
        self.published = 0
        self.linked = True
        self.messages: list[Head] = []
        self.restarts = 0
        self.cuts = 0
        self.broken: set[str] = set()


class RevisionsModel:
    """Explorable model of the configuration in force.

    Parameters
    ----------
    case : RevisionsCase
        Size of the world.
    make_book : callable
        Makes a node's book; tests pass broken ones.
    asks_peers : bool
        Whether a restarted node asks its peers too before it serves.
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

    def initial(self) -> RevisionsWorld:
        """Return a world in which nothing is published."""
        return RevisionsWorld(
            books=[self._make_book() for _ in range(self._case.nodes)]
        )

    def fingerprint(self, state: RevisionsWorld) -> bytes:
        """Return bytes that are equal for states with the same future."""
        books = [
            (book.active, sorted(_key(item.head) for item in book.refused))
            for book in state.books
        ]
        counts = (state.published, state.restarts, state.cuts)
        return msgspec.msgpack.encode(
            (books, state.linked, sorted(state.messages), counts, sorted(state.broken))
        )

    def violations(self, state: RevisionsWorld) -> list[str]:
        """Return the properties that `state` breaks."""
        return sorted(state.broken)

    def steps(self, state: RevisionsWorld) -> list[Step[RevisionsWorld]]:
        """Return everything that may happen next."""
        found = []
        if state.published < self._case.revisions:
            found.append(_step("a revision is published", self._publish))
        for node in range(self._case.nodes):
            for shown in range(state.published):
                label = f"{node} reads revision {shown} from the platform"
                found.append(_step(label, self._hear, node, shown))
            if state.linked and len(state.messages) < self._case.messages:
                found.append(_step(f"{node} tells its peers", self._tell, node))
            if state.restarts < self._case.restarts:
                for shown in range(state.published):
                    label = f"{node} restarts, the platform shows {shown}"
                    found.append(_step(label, self._restart, node, shown))
        for index in range(len(state.messages)):
            found.append(_step("a head arrives", self._arrive, index))
            found.append(_step("a head is lost", self._lose, index))
        if state.linked and state.cuts < self._case.cuts:
            found.append(_step("the link is cut", self._cut))
        if not state.linked:
            found.append(_step("the link heals", self._heal))
        return found

    def _publish(self, state: RevisionsWorld) -> None:
        state.published += 1

    def _hear(self, state: RevisionsWorld, node: int, shown: int) -> None:
        self._take(state, node, PUBLISHED[shown])

    def _tell(self, state: RevisionsWorld, node: int) -> None:
        head = state.books[node].active
        for other in range(self._case.nodes):
            if other != node:
                state.messages.append(Head(other, head.number, head.digest))

    def _arrive(self, state: RevisionsWorld, index: int) -> None:
        message = state.messages.pop(index)
        head = RevisionHead(number=message.number, digest=message.digest)
        self._take(state, message.node, head)

    def _lose(self, state: RevisionsWorld, index: int) -> None:
        del state.messages[index]

    def _cut(self, state: RevisionsWorld) -> None:
        state.cuts += 1
        state.linked = False

    def _heal(self, state: RevisionsWorld) -> None:
        state.linked = True

    def _restart(self, state: RevisionsWorld, node: int, shown: int) -> None:
        state.restarts += 1
        state.books[node] = self._make_book()
        self._take(state, node, PUBLISHED[shown])
        if not state.linked:
            return
        peers = [book.active for other, book in enumerate(state.books) if other != node]
        for head in peers if self._asks_peers else []:
            if head.number:
                self._take(state, node, head)
        if any(is_newer(head, state.books[node].active) for head in peers):
            state.broken.add("a fresh node serves an older revision than its peers")

    def _take(self, state: RevisionsWorld, node: int, head: RevisionHead) -> None:
        book = state.books[node]
        before = book.active
        if book.wants(head):
            if head.digest == _REFUSED_DIGEST:
                book.refuse(head, ["refused"])
            else:
                book.accept(head)
        after = book.active
        if _key(after) < _key(before):
            state.broken.add("a node went back to an older revision")
        if after.digest == _REFUSED_DIGEST:
            state.broken.add("a refused revision is in force")
        if head.digest != _REFUSED_DIGEST and _key(after) < _key(head):
            state.broken.add("a node passed over a newer revision")


def _key(head: RevisionHead) -> tuple[int, str]:
    return (head.number, head.digest)


def _step(label: str, act: Callable[..., None], *args: int) -> Step[RevisionsWorld]:
    return Step(label, partial(_apply, act, args))


def _apply(
    act: Callable[..., None], args: tuple[int, ...], state: RevisionsWorld
) -> None:
    act(state, *args)
