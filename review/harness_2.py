"""Stand-ins and processes for the scripts of the second review.

A store, servers and clients that speak the platform's protocol over loopback, and
the node processes of the deploy file. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
HEARTBEAT_SECONDS = 1.2
GRACE_SECONDS = 8.0
CONTACT_SECONDS = 5.0
"""`ContactMs` of the deployment."""
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_NO_COOKIE = 0xFFFFFFFF
RESTART_SECONDS = 0.5
"""Delay after which the platform starts a process again that has ended."""
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "ContactMs": 5000,
    "AckMs": 6000,
    "CatchUpS": 4,
    "DrainMs": 3000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 3000,
    "RollbackSlackMs": 250,
    "MaxStretchMs": 8000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBudgetExtra": 56,
    "ColdOverage": 1.5,
    "ColdSlack": 3,
    "EvacuationMs": 5000,
    "RecoveryS": 12,
    "PassMs": 600,
    "RetryAfterS": 10,
    "ttl_max_s": 5,
}


class Record:
    """Lines of `record.txt`, with seconds since the start of the script."""

    def __init__(self, path):
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        self._began = time.monotonic()

    def line(self, text):
        """Write one line."""
        line = f"{time.monotonic() - self._began:8.3f} {text}\n"
        os.write(self._fd, line.encode())

    def say(self, text):
        """Write one line here and to standard output."""
        print(text, flush=True)
        self.line(text)


async def read_head(reader):
    """Return the first line and the headers, by lower-case name, of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for item in lines:
        name, colon, value = item.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return first, headers


def message(first, headers, body=b""):
    """Return an HTTP/1.1 message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        linger = (1).to_bytes(4, sys.byteorder) + (0).to_bytes(4, sys.byteorder)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Store:
    """The platform's store: linearizable, with one history."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.oldest = 100
        self.era = 1
        self.away = False
        """Whether it resets each call, as one that is down."""
        self.address = ""
        self._changed = asyncio.Event()
        self._writers = set()

    async def start(self, ip):
        """Listen at a free port."""
        self.address = await self.listen(ip)

    async def listen(self, ip, turns_away=lambda: False):
        """Listen at a further address, whose callers may be turned away with 503."""

        async def serve(reader, writer):
            await self._serve(reader, writer, turns_away)

        server = await asyncio.start_server(serve, ip, 0)
        return f"{ip}:{server.sockets[0].getsockname()[1]}"

    def put(self, key, value):
        """Write and acknowledge an item."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items[key]["Created"] if key in self.items else self.revision
        item = {
            "Key": key,
            "Value": text,
            "Revision": self.revision,
            "Created": created,
            "Lease": 0,
        }
        self.items[key] = item
        self._add(item)

    def delete(self, key):
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add({"Key": key, "Revision": self.revision, "Deleted": True})

    def copy(self):
        """Return a copy of everything, for `restore`."""
        return self.revision, dict(self.items), list(self.events)

    def go_away(self):
        """Stop to answer; open connections are reset."""
        self.away = True
        for writer in list(self._writers):
            reset(writer)

    def restore(self, copy):
        """Come back from a copy, in the next era."""
        self.revision, self.items, self.events = copy[0], dict(copy[1]), list(copy[2])
        self.era += 1
        self.away = False

    def _add(self, event):
        self.events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer, turns_away):
        self._writers.add(writer)
        try:
            while True:
                first, _ = await read_head(reader)
                if self.away:
                    reset(writer)
                    return
                if turns_away():
                    headers = {"Store-Era": str(self.era)}
                    writer.write(message("HTTP/1.1 503 Status", headers))
                    continue
                path, _, text = first.split(" ")[1].partition("?")
                query = dict(item.split("=", 1) for item in text.split("&") if item)
                query = {name: _unquote(value) for name, value in query.items()}
                status, body = await self._answer(path, query)
                if turns_away():
                    headers = {"Store-Era": str(self.era)}
                    writer.write(message("HTTP/1.1 503 Status", headers))
                    continue
                if self.away:
                    reset(writer)
                    return
                headers = {"Content-Type": "application/json"}
                headers["Store-Era"] = str(self.era)
                data = json.dumps(body).encode()
                writer.write(message(f"HTTP/1.1 {status} Status", headers, data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, path, query):
        if path == "/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {}
            return 200, {**item, "StoreRevision": self.revision}
        prefix = query.get("Prefix", "")
        if path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(
                key for key in self.items if key.startswith(prefix) and key > after
            )
            items = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {
                "items": items,
                "HasMore": more,
                "StoreRevision": self.revision,
            }
        after, era = int(query["after"]), self.era
        ends_at = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            if era != self.era or not self.oldest <= after <= self.revision:
                return 410, {}
            events = [
                item
                for item in self.events
                if item["Revision"] > after and item["Key"].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0 or self.away:
                return 200, {"events": events, "StoreRevision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left, 0.1))


def _unquote(text):
    parts = text.replace("+", " ").split("%")
    return parts[0] + "".join(chr(int(item[:2], 16)) + item[2:] for item in parts[1:])


class Server:
    """A server of a service: it registers itself and runs requests.

    Parameters
    ----------
    site : Site
        Deployment that it belongs to.
    service : str
        Name of its service.
    zone : str
        Its zone.
    events : int
        Events of a stream; with 0 an answer is one body.
    gap_seconds : float
        Time for each event, or for a whole body.
    slots : int
        Slots that its entry names.
    """

    def __init__(self, site, *, service, zone, events=0, gap_seconds=0.01, slots=64):
        self.site = site
        self.service = service
        self.zone = zone
        self.events = events
        self.gap_seconds = gap_seconds
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.version = "1.0"
        self.slots = slots
        self.state = "ready"
        self.is_leaving = False
        self.runs = []
        """Requests that it began to run: (monotonic time, id, machine or None)."""
        self.running = 0
        self._sequence = 0
        self._writers = set()
        self._nodes = {}
        """Machine at the other end of each connection."""
        self._heartbeats = None

    async def start(self, ip):
        """Listen at a free port and register."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"
        self.publish()
        self._heartbeats = asyncio.create_task(self._beat())

    def publish(self):
        """Write the entry."""
        self._sequence += 1
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": self.state,
            "ColdLeftMs": 0,
            "Sequence": self._sequence,
            "born": self.born,
        }
        self.site.store.put(f"servers/{self.id}", entry)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if not self.site.store.away and self.state:
                self.publish()

    async def _serve(self, reader, writer):
        node = self.site.node_of(
            writer.get_extra_info("peername"), writer.get_extra_info("sockname")
        )
        if node is not None and node.is_cut_off:
            reset(writer)
            return
        self._writers.add(writer)
        self._nodes[writer] = node
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ")
                length = int(headers.get("content-length", "0"))
                if length:
                    await reader.readexactly(length)
                await self._answer(method, path, headers, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            self._nodes.pop(writer, None)
            writer.close()

    def reset_connections(self, node):
        """Reset the connections of a machine."""
        for writer, other in list(self._nodes.items()):
            if other is node:
                reset(writer)

    async def end(self):
        """End, with all that is in progress."""
        self.state = ""
        self._heartbeats.cancel()
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _answer(self, method, path, headers, reader, writer):
        common = {}
        if path == "/report" or path == "/healthz":
            body = {"Stage": "both", "Models": [], "Busy": False, "Sequence": 0}
            body |= {"QueuedRequests": 0, "ActiveRequests": self.running}
            body |= {"KvUsed": 0, "KvTotal": 250000, "Handles": 0, "born": self.born}
            common["X-Instance-Id"] = self.id
            data = json.dumps(body).encode()
            writer.write(message("HTTP/1.1 200 OK", common, data))
            return
        request_id = headers.get("x-request-id", "")
        common["X-Request-Id"] = request_id
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(message("HTTP/1.1 421 Misdirected", common))
            return
        node = self._nodes.get(writer)
        self.runs.append((time.monotonic(), request_id, node))
        self.site.record.line(
            f"run at={self.id} id={request_id} from={node.ip if node else None} "
            f"{method} {path} last-event={headers.get('last-event-id')}"
        )
        common["X-Response-Seal"] = f"{self.id}.{request_id}"
        self.running += 1
        try:
            if not self.events:
                await asyncio.sleep(self.gap_seconds)
                body = f"{request_id} {path}".encode()
                if self.is_leaving:
                    common["Server-Leaving"] = "1"
                writer.write(message("HTTP/1.1 200 OK", common, body))
            else:
                await self._stream(common, headers, writer)
        finally:
            self.running -= 1
        await writer.drain()

    async def _stream(self, common, headers, writer):
        common["Content-Type"] = "text/event-stream"
        if self.is_leaving:
            common["Server-Leaving"] = "1"
        common["Transfer-Encoding"] = "chunked"
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in common.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(
            int(headers.get("last-event-id", "0")) + 1, self.events + 1
        ):
            await asyncio.sleep(self.gap_seconds)
            if writer.is_closing():
                raise ConnectionResetError
            event = b"id: %d\ndata: token %d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")


class Node:
    """One machine with the process of the deploy file."""

    def __init__(self, site, *, ip, zone, first_start):
        self.site = site
        self.ip = ip
        self.zone = zone
        self.process = None
        self.started_at = 0.0
        self.is_cut_off = False
        """Whether it is partitioned from all servers, which reset its connections."""
        self.is_turned_away = False
        """Whether the store turns it away."""
        self.store_address = site.store.address
        self.path = site.folder / f"{ip}.toml"
        self.log_path = site.folder / f"{ip}.log"
        self.write_settings(bootstrap=first_start)

    def write_settings(self, *, bootstrap):
        """Write the settings file as DEPLOY.md shows it."""
        site, ports = self.site, self.site.ports
        region = site.zones[self.zone]
        zones = "\n".join(f'{zone} = "{name}"' for zone, name in site.zones.items())
        bounds = "\n".join(
            f"{name} = {json.dumps(value)}" for name, value in site.bounds.items()
        )
        seeds = json.dumps([f"{ip}:{ports['control']}" for ip in site.seed_ips])
        self.path.write_text(
            f"""
Node = "edge-{self.ip}"
Role = "entry"
MachineClass = "edge"
Serves = ["edge", "control_plane", "registry"]
Ip = "{self.ip}"
Zone = "{self.zone}"
Region = "{region}"
InternalPorts = [{ports["internal"]}, {ports["internal"] + 15}]
Seeds = {seeds}
Bootstrap = {json.dumps(bootstrap)}
InFailureBudget = false
Discovery = "platform"
Entry = "registry"
HeartbeatMs = {int(HEARTBEAT_SECONDS * 1000)}
[Zones]
{zones}
[ListenAddrs]
Front = "{self.ip}:{ports["front"]}"
Ready = "{self.ip}:{ports["ready"]}"
Control = "{self.ip}:{ports["control"]}"
Directory = "{self.ip}:{ports["directory"]}"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 1
[Bounds]
{bounds}
[Platform]
Address = "{self.store_address}"
form = "read"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
"""
        )

    def start(self):
        """Start the process with the command of `deploy/system.toml`."""
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env["PIMENTOSPOOL_CONFIG"] = str(self.path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "pimentospool", "node"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.started_at = time.monotonic()

    def signal(self, number):
        """Send a signal to the process."""
        self.site.record.line(f"signal {signal.Signals(number).name} {self.ip}")
        self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def is_ready(self):
        """Whether the process says that it is ready."""
        try:
            answer = await asyncio.wait_for(
                ask(self.ip, self.site.ports["ready"], "GET", "/ready"), 1.0
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200


class Answer:
    """What a client got."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def ask(ip, port, method, path, headers=None, body=b""):
    """Send one request on a new connection; return its whole answer."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        fields = {"Host": HOST, **(headers or {})}
        writer.write(message(f"{method} {path} HTTP/1.1", fields, body))
        first, answer_headers = await read_head(reader)
        length = int(answer_headers.get("content-length", "0"))
        data = await reader.readexactly(length)
        return Answer(int(first.split(" ")[1]), answer_headers, data)
    finally:
        writer.close()


async def open_stream(ip, port, path, headers, on_event):
    """Send a streaming request; call `on_event` with each id; return how it ended.

    Returns
    -------
    tuple
        Status, headers, and whether the stream was complete.
    """
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(message(f"POST {path} HTTP/1.1", {"Host": HOST, **headers}, b"{}"))
        first, answer_headers = await read_head(reader)
        status = int(first.split(" ")[1])
        if "chunked" not in answer_headers.get("transfer-encoding", ""):
            return status, answer_headers, False
        data = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data += (await reader.readexactly(size + 2))[:-2]
            *events, data = data.split(b"\n\n")
            for event in events:
                for line in event.split(b"\n"):
                    if line.startswith(b"id: "):
                        on_event(int(line[4:]), writer)
            if not size:
                return status, answer_headers, not data
    finally:
        writer.close()


class Site:
    """A small deployment on loopback addresses.

    Parameters
    ----------
    record : Record
        Receives what is sent, answered and run.
    zones : dict
        Region by zone.
    bounds : dict
        Bounds beside the usual ones.
    """

    def __init__(self, *, record, zones, bounds=None):
        self.record = record
        self.zones = zones
        self.bounds = BOUNDS | (bounds or {})
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.net = f"127.{random.randrange(20, 250)}"
        self.store = Store()
        self.nodes = []
        self.servers = []
        self.ports = {}
        self.seed_ips = []
        self.finds_nodes = False
        """Whether servers find out which machine sends a request."""
        self._numbers = itertools.count(1)

    async def start(self, *, nodes_per_zone, configuration):
        """Start the store, publish the configuration and start the nodes."""
        await self.store.start(f"{self.net}.250.1")
        self.store.put("op/config", configuration)
        plan = [
            (f"{self.net}.{number}.{index + 1}", zone)
            for number, zone in enumerate(self.zones)
            for index in range(nodes_per_zone)
        ]
        self.ports = free_ports([ip for ip, _ in plan])
        self.seed_ips = [plan[nodes_per_zone * i][0] for i in range(len(self.zones))][
            :3
        ]
        self.nodes = [
            Node(self, ip=ip, zone=zone, first_start=True) for ip, zone in plan
        ]
        for node in self.nodes:
            node.store_address = await self.store.listen(
                f"{self.net}.250.1", lambda node=node: node.is_turned_away
            )
            node.write_settings(bootstrap=True)
            node.start()

    def node_of(self, address, server_address):
        """Return the machine whose process holds the other end of a connection."""
        if not self.finds_nodes:
            return None
        inode = str(socket_inode(address, server_address))
        for node in self.nodes:
            folder = Path(f"/proc/{node.process.pid}/fd")
            with contextlib.suppress(OSError):
                for item in folder.iterdir():
                    with contextlib.suppress(OSError):
                        if os.readlink(item)[8:-1] == inode:
                            return node
        return None

    async def add_server(self, **options):
        """Start a server."""
        server = Server(self, **options)
        self.servers.append(server)
        await server.start(f"{self.net}.200.{next(self._numbers)}")
        return server

    async def wait_ready(self, seconds=20.0):
        """Wait until all nodes are ready; exit with 2 if they aren't in time."""
        ends_at = time.monotonic() + seconds
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > ends_at:
                    raise CannotRunError(f"{node.ip} is not ready")
                await asyncio.sleep(0.05)
        self.record.line("all machines are ready")

    async def restart(self, nodes):
        """Start ended processes again, as the platform does after a short delay."""
        await asyncio.sleep(RESTART_SECONDS)
        for node in nodes:
            node.write_settings(bootstrap=False)
            node.start()
            self.record.line(f"started again {node.ip}")

    async def resolve(self, region, zone):
        """Ask the directory as a client does; return the front addresses."""
        nodes = sorted(self.nodes, key=lambda item: item.zone != zone)
        path = f"/resolve?Name={HOST}&Region={region}&Zone={zone}"
        for node in nodes[:3]:
            try:
                answer = await asyncio.wait_for(
                    ask(node.ip, self.ports["directory"], "GET", path), 1.0
                )
                if answer.status == 200:
                    return json.loads(answer.body)["Addresses"]
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                continue
        return []

    def in_touch(self, ip, at):
        """Whether the machine at `ip` had run for `ContactMs` at a moment."""
        return any(
            node.ip == ip and at - node.started_at >= CONTACT_SECONDS
            for node in self.nodes
        )

    def close(self):
        """End all processes that were started; drop their logs, unless KEEP is set."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def socket_inode(address, peer):
    """Return the inode of the TCP socket that is bound to `address`, 0 without one.

    The kernel looks it up by both addresses (sock_diag(7)); reading /proc/net/tcp
    takes long on a machine with many connections.
    """
    ports = struct.pack("!HH", address[1], peer[1])
    hosts = b"".join(
        socket.inet_aton(host) + bytes(12) for host in (address[0], peer[0])
    )
    socket_id = ports + hosts + struct.pack("=III", 0, _NO_COOKIE, _NO_COOKIE)
    body = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, 0xFFFFFFFF)
    body += socket_id
    head = struct.pack("=IHHII", 16 + len(body), _SOCK_DIAG_BY_FAMILY, 1, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG) as sock:
        sock.settimeout(0.5)
        sock.send(head + body)
        data = sock.recv(4096)
    if struct.unpack_from("=IH", data)[1] != _SOCK_DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from("=I", data, 16 + 4 + 48 + 16)[0]


class CannotRunError(Exception):
    """The case could not run."""


def free_ports(ips):
    """Return ports that are free on all addresses."""
    for _ in range(50):
        base = random.randrange(21000, 31000)
        if all(_is_free(ip, base + i) for ip in ips for i in range(20)):
            return {
                "front": base,
                "ready": base + 1,
                "control": base + 2,
                "directory": base + 3,
                "internal": base + 4,
            }
    raise CannotRunError("no free ports")


def _is_free(ip, port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


_ids = itertools.count(1)


def new_id():
    """Return an id for one client attempt."""
    return f"{next(_ids):06x}{random.getrandbits(40):010x}"


def run_case(name, case):
    """Run `case(site_record, trouble)`; it returns whether the rule was broken."""
    folder = Path(name).resolve().parent
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"case {folder.name}, disruption: {'yes' if trouble else 'no'}")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 115.0))
    except (CannotRunError, OSError, TimeoutError) as exc:
        record.say(f"the case could not run: {exc!r}")
        sys.exit(2)
    record.say("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
