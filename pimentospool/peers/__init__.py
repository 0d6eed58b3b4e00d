"""Control messages between entry processes, over pynng."""

from pimentospool.peers._codec import PeerCodec
from pimentospool.peers._fetching import ContentFetcher, ContentStore
from pimentospool.peers._gossip import LOAD_PREFIX
from pimentospool.peers._links import PeerError, PeerLinks, PeerTls, TrafficCounter
from pimentospool.peers._listener import PeerListener
from pimentospool.peers._node import PeerNode
from pimentospool.peers._zones import ZoneView

__all__ = [
    "LOAD_PREFIX",
    "ContentFetcher",
    "ContentStore",
    "PeerCodec",
    "PeerError",
    "PeerLinks",
    "PeerListener",
    "PeerNode",
    "PeerTls",
    "TrafficCounter",
    "ZoneView",
]
