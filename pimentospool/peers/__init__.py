"""Control messages between entry processes, over pynng."""

from pimentospool.peers._codec import PeerCodec
from pimentospool.peers._fetching import ContentStore, PeerContent
from pimentospool.peers._gossip import LOAD_PREFIX
from pimentospool.peers._links import PeerError, PeerLinks, PeerTls, Traffic
from pimentospool.peers._listener import PeerListener
from pimentospool.peers._node import PeerNode
from pimentospool.peers._zones import ZoneView

__all__ = [
    "LOAD_PREFIX",
    "ContentStore",
    "PeerCodec",
    "PeerContent",
    "PeerError",
    "PeerLinks",
    "PeerListener",
    "PeerNode",
    "PeerTls",
    "Traffic",
    "ZoneView",
]
