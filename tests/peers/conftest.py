"""Certificates for TLS between peers."""

import datetime

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from pimentospool._generated.settings import TlsSettings

DAY = datetime.timedelta(days=1)


def _sign(name, key, issuer, issuer_key, extension):
    now = datetime.datetime.now(datetime.UTC)
    builder = (
        x509.CertificateBuilder()
        .subject_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)]))
        .issuer_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, issuer)]))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - DAY)
        .not_valid_after(now + DAY)
        .add_extension(extension, critical=isinstance(extension, x509.BasicConstraints))
    )
    return builder.sign(issuer_key, hashes.SHA256())


@pytest.fixture
def peer_pem():
    """Return a function that writes a CA and a certificate for the name ``test``."""

    def write(folder):
        folder.mkdir()
        authority_key, key = (ec.generate_private_key(ec.SECP256R1()) for _ in "ab")
        constraints = x509.BasicConstraints(ca=True, path_length=None)
        authority = _sign("ca", authority_key, "ca", authority_key, constraints)
        names = x509.SubjectAlternativeName([x509.DNSName("test")])
        certificate = _sign("test", key, "ca", authority_key, names)
        pem = serialization.Encoding.PEM
        contents = {
            "authority": authority.public_bytes(pem),
            "certificate": certificate.public_bytes(pem),
            "key": key.private_bytes(
                pem,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            ),
        }
        for name, data in contents.items():
            (folder / name).write_bytes(data)
        return TlsSettings(
            peer_authority=str(folder / "authority"),
            peer_certificate=str(folder / "certificate"),
            peer_key=str(folder / "key"),
        )

    return write
