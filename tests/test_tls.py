"""TLS of callers and hops, with certificates made here."""

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
    """Signs certificates for 127.0.0.1 and writes them as PEM files."""

    def __init__(self, folder):
        self.folder = folder
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "authority")])
        self.path = folder / "authority.pem"
        made = self._sign(self.name, self.key, authority=True)
        self.path.write_bytes(made.public_bytes(PEM))

    def issue(self, name):
        """Write NAME.pem and NAME.key and return the certificate's number."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        made = self._sign(subject, key, authority=False)
        (self.folder / f"{name}.pem").write_bytes(made.public_bytes(PEM))
        (self.folder / f"{name}.key").write_bytes(
            key.private_bytes(
                PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return made.serial_number

    def settings(self, cfg):
        """Turn TLS on in the settings of an entry VM."""
        cfg.tls = TlsSettings(
            caller_certificate=str(self.folder / "entry.pem"),
            caller_key=str(self.folder / "entry.key"),
            peer_certificate=str(self.folder / "peer.pem"),
            peer_key=str(self.folder / "peer.key"),
            peer_authority=str(self.path),
            reload_seconds=0.05,
        )

    def client(self, certificate=None):
        """Return a context of a caller that trusts this authority."""
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
    made = Authority(tmp_path)
    made.issue("entry")
    made.issue("peer")
    return made


def session(running, ctx):
    base = f"https://{running.entries[0]._cfg.entry.caller_address}"
    return aiohttp.ClientSession(
        base,
        headers={"Authorization": "Bearer stores-gulf-key"},
        connector=aiohttp.TCPConnector(ssl=ctx),
    )


def served_number(running, ctx, name="caller_address"):
    """Return the number of the certificate that an entry VM's port shows."""
    address = getattr(running.entries[0]._cfg.entry, name)
    host, _, port = address.rpartition(":")

    async def connect():
        _, writer = await asyncio.open_connection(host, int(port), ssl=ctx)
        shown = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
        writer.close()
        return x509.load_der_x509_certificate(shown).serial_number

    return connect()


def test_caller_and_hop_use_tls_with_certificates_on_both_sides(runner, authority):
    async def check():
        async with (
            gateway(
                zones=2,
                settings=authority.settings,
                change=lambda manifest: serving_in(manifest, "piedmont"),
            ) as running,
            session(running, authority.client()) as caller,
        ):
            async with caller.post("/v1/chat/completions", json=chat()) as resp:
                text = streamed_text(await resp.read())[0]
            hopped = [outcome.hopped for outcome in running.outcomes]
            sent = running.entries[0].dispatcher._exchanges
            header = {"X-Hop": sent._signer.sign(hop_header(running))}
            path = "/hop/v1/services/ticketing/tickets/lookup"
            async with caller.get(path, headers=header) as resp:
                without = resp.status
            async with (
                session(running, authority.client("peer")) as peer,
                peer.get(path, headers=header) as resp,
            ):
                return text, hopped, without, resp.status

    text, hopped, without, with_certificate = runner.run(check())
    assert text == expected_text(40)
    assert any(hopped)
    assert (without, with_certificate) == (403, 200)


def hop_header(running):
    entry = running.entries[0]
    req = type("Req", (), {})()
    req.id = "one"
    req.customer = entry.view.index.customers["stores-gulf"]
    req.deadline = asyncio.get_running_loop().time() + 5
    return entry.dispatcher._exchanges.hop_header(req)


def test_changed_certificate_comes_in_force_and_cuts_nothing(runner, authority):
    async def check():
        async with (
            gateway(settings=authority.settings, speed=4.0) as running,
            session(running, authority.client()) as caller,
        ):
            stream = await caller.post("/v1/chat/completions", json=chat())
            data = await stream.content.readany()
            number = authority.issue("entry")
            async with asyncio.timeout(10):
                while await served_number(running, authority.client()) != number:
                    await asyncio.sleep(0.02)
            (authority.folder / "entry.key").write_bytes(b"nonsense")
            await asyncio.sleep(0.2)
            kept = await served_number(running, authority.client()) == number
            return kept, data + await stream.read()

    kept, data = runner.run(check())
    assert kept
    assert streamed_text(data)[0] == expected_text(40)


def test_changed_peer_certificate_comes_in_force_and_peers_connect_again(
    runner, authority
):
    async def check():
        async with gateway(zones=2, settings=authority.settings) as running:
            number = authority.issue("peer")
            ctx = authority.client("peer")
            async with asyncio.timeout(30):
                while await shown_to_peers(running, ctx) != number:
                    await asyncio.sleep(0.02)
                renewed_at = running.entries[1].control.now()
                while heard_at(running) < renewed_at:
                    await asyncio.sleep(0.02)

    runner.run(check())


async def shown_to_peers(running, ctx):
    """Return the number of the peers' certificate, or 0 while nothing listens."""
    try:
        return await served_number(running, ctx, "peer_address")
    except OSError:
        return 0


def heard_at(running):
    """Return when the second entry VM last heard from the first one's zone."""
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
