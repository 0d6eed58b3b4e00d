"""TLS of callers and hops, with certificates that the tests issue."""

import asyncio
import datetime
import ipaddress
import ssl

import aiohttp
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from running_entry import chat, expected_text, gateway, serving_in, streamed_text

from pimentospool._generated.settings import TlsSettings
from pimentospool.errors import DocumentErrors
from pimentospool.tls import TlsContexts

DAY = datetime.timedelta(days=1)
PEM = serialization.Encoding.PEM


class Authority:
    """Certificate authority that issues certificates for 127.0.0.1 as PEM files."""

    def __init__(self, folder):
        self.folder = folder
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "authority")])
        self.path = folder / "authority.pem"
        certificate = self._sign(self.name, self.key, authority=True)
        self.path.write_bytes(certificate.public_bytes(PEM))

    def issue(self, name):
        """Write NAME.pem and NAME.key; return the certificate's serial number."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = self._sign(subject, key, authority=False)
        (self.folder / f"{name}.pem").write_bytes(certificate.public_bytes(PEM))
        (self.folder / f"{name}.key").write_bytes(
            key.private_bytes(
                PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return certificate.serial_number

    def settings(self, cfg):
        """Enable TLS in the settings of an entry VM."""
        cfg.tls = TlsSettings(
            caller_certificate=str(self.folder / "entry.pem"),
            caller_key=str(self.folder / "entry.key"),
            peer_certificate=str(self.folder / "peer.pem"),
            peer_key=str(self.folder / "peer.key"),
            peer_authority=str(self.path),
            reload_seconds=0.05,
        )

    def client_context(self, certificate=None):
        """Return a client context that trusts this authority."""
        ctx = ssl.create_default_context(cafile=str(self.path))
        if certificate:
            pair = [self.folder / f"{certificate}.{end}" for end in ("pem", "key")]
            ctx.load_cert_chain(*pair)
        return ctx

    def _sign(self, subject, key, *, authority):
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - DAY)
            .not_valid_after(now + DAY)
            .add_extension(x509.BasicConstraints(authority, None), critical=True)
        )
        if not authority:
            address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
            deployment = x509.DNSName("magnolia")
            names = x509.SubjectAlternativeName([address, deployment])
            builder = builder.add_extension(names, critical=False)
        return builder.sign(self.key, hashes.SHA256())


@pytest.fixture
def authority(tmp_path):
    test_authority = Authority(tmp_path)
    test_authority.issue("entry")
    test_authority.issue("peer")
    return test_authority


def session(running, ctx):
    base = f"https://{running.entries[0]._cfg.entry.caller_address}"
    return aiohttp.ClientSession(
        base,
        headers={"Authorization": "Bearer stores-gulf-key"},
        connector=aiohttp.TCPConnector(ssl=ctx),
    )


def served_serial_number(running, ctx, name="caller_address"):
    """Return the serial number of the certificate that an entry VM's port presents."""
    address = getattr(running.entries[0]._cfg.entry, name)
    host, _, port = address.rpartition(":")

    async def connect():
        _, writer = await asyncio.open_connection(host, int(port), ssl=ctx)
        presented = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
        writer.close()
        return x509.load_der_x509_certificate(presented).serial_number

    return connect()


def test_caller_uses_tls_and_hop_uses_mutual_tls(runner, authority):
    async def check():
        async with (
            gateway(
                zones=2,
                settings=authority.settings,
                change=lambda manifest: serving_in(manifest, "piedmont"),
            ) as running,
            session(running, authority.client_context()) as caller,
        ):
            async with caller.post("/v1/chat/completions", json=chat()) as resp:
                text = streamed_text(await resp.read())[0]
            are_hops = [outcome.is_hop for outcome in running.outcomes]
            exchanges = running.entries[0].dispatcher._exchanges
            header = {"X-Hop": exchanges._signer.sign(hop_header(running))}
            path = "/hop/v1/services/ticketing/tickets/lookup"
            async with caller.get(path, headers=header) as resp:
                status_without_certificate = resp.status
            async with (
                session(running, authority.client_context("peer")) as peer,
                peer.get(path, headers=header) as resp,
            ):
                return text, are_hops, status_without_certificate, resp.status

    text, are_hops, status_without_certificate, status_with_certificate = runner.run(
        check()
    )
    assert text == expected_text(40)
    assert any(are_hops)
    assert (status_without_certificate, status_with_certificate) == (403, 200)


def hop_header(running):
    entry = running.entries[0]
    req = type("Req", (), {})()
    req.id = "one"
    req.customer = entry.view.index.customers["stores-gulf"]
    req.deadline = asyncio.get_running_loop().time() + 5
    return entry.dispatcher._exchanges.hop_header(req)


def test_changed_certificate_is_loaded_without_breaking_connections(runner, authority):
    async def check():
        async with (
            gateway(settings=authority.settings, speed=4.0) as running,
            session(running, authority.client_context()) as caller,
        ):
            stream = await caller.post("/v1/chat/completions", json=chat())
            data = await stream.content.readany()
            serial_number = authority.issue("entry")
            async with asyncio.timeout(10):
                while (
                    await served_serial_number(running, authority.client_context())
                    != serial_number
                ):
                    await asyncio.sleep(0.02)
            (authority.folder / "entry.key").write_bytes(b"nonsense")
            await asyncio.sleep(0.2)
            still_served = (
                await served_serial_number(running, authority.client_context())
                == serial_number
            )
            return still_served, data + await stream.read()

    still_served, data = runner.run(check())
    assert still_served
    assert streamed_text(data)[0] == expected_text(40)


def test_changed_peer_certificate_is_loaded_and_peers_reconnect(runner, authority):
    async def check():
        async with gateway(zones=2, settings=authority.settings) as running:
            serial_number = authority.issue("peer")
            ctx = authority.client_context("peer")
            async with asyncio.timeout(30):
                while await peer_serial_number(running, ctx) != serial_number:
                    await asyncio.sleep(0.02)
                renewed_at = running.entries[1].control.now()
                while last_contact_at(running) < renewed_at:
                    await asyncio.sleep(0.02)

    runner.run(check())


async def peer_serial_number(running, ctx):
    """Return the serial number of the peers' certificate, or 0 if nothing listens."""
    try:
        return await served_serial_number(running, ctx, "peer_address")
    except OSError:
        return 0


def last_contact_at(running):
    """Return when the second entry VM last had contact with the first one's zone."""
    first, second = running.entries
    now = second.control.now()
    age = second.control.node.zones.age(first._cfg.entry.zone, now=now)
    return now - age if age is not None else -1.0


def test_certificate_that_does_not_match_its_key_is_refused(authority):
    cfg = TlsSettings(
        caller_certificate=str(authority.folder / "entry.pem"),
        caller_key=str(authority.folder / "peer.key"),
    )
    with pytest.raises(DocumentErrors) as caught:
        TlsContexts(cfg=cfg)
    assert caught.value.exceptions[0].path == "tls.caller_certificate"
