"""Reading and checking of the settings of an entry process."""

import ipaddress
from pathlib import Path

import msgspec

from pimentospool._generated.settings import Settings
from pimentospool.errors import DocumentError
from pimentospool.readers import decode_toml

__all__ = ["Settings", "parse_settings", "read_settings"]

_ADDRESS_FIELDS = {
    "entry": ["caller_address", "peer_address", "admin_address"],
    "platform": [
        "configuration_address",
        "vm_list_address",
        "directory_address",
    ],
}
_CERTIFICATE_PAIRS = [
    ("caller_certificate", "caller_key"),
    ("peer_certificate", "peer_key"),
]


def read_settings(path: Path) -> Settings:
    """Read and check the settings file at `path`.

    Raises
    ------
    DocumentErrors
        With all faults found in the file.
    """
    return parse_settings(path.read_bytes())


def parse_settings(data: bytes) -> Settings:
    """Check settings given as TOML and return them.

    Raises
    ------
    DocumentErrors
        With all faults found in the document.
    """
    return decode_toml(data, Settings, _find_faults)


def _find_faults(cfg: Settings) -> list[DocumentError]:
    faults = []
    for section, names in _ADDRESS_FIELDS.items():
        for name in names:
            address = getattr(getattr(cfg, section), name)
            faults += check_address(f"{section}.{name}", address)
    for number, seed in enumerate(cfg.peers.seeds):
        faults += check_address(f"peers.seeds[{number}]", seed)
    for certificate, key in _CERTIFICATE_PAIRS:
        if bool(getattr(cfg.tls, certificate)) != bool(getattr(cfg.tls, key)):
            faults.append(
                DocumentError(
                    path=f"tls.{certificate}",
                    message=f"set both {certificate} and {key}, or neither",
                )
            )
    if cfg.tls.peer_certificate and not cfg.tls.peer_authority:
        message = "set peer_authority too, since peers check each other's certificate"
        faults.append(DocumentError(path="tls.peer_authority", message=message))
    if cfg.peers.gone_after_seconds <= cfg.peers.suspect_after_seconds:
        faults.append(
            DocumentError(
                path="peers.gone_after_seconds",
                message="must be greater than suspect_after_seconds",
            )
        )
    return faults


def check_address(path: str, address: str) -> list[DocumentError]:
    """Return the faults of an ``IP:port`` address that stands at `path`."""
    host, separator, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = bool(separator) and 0 < int(port) < 65536
    except ValueError:
        valid = False
    if valid:
        return []
    message = f"expected an IP address and a port, such as 10.0.0.1:80, not {address!r}"
    return [DocumentError(path=path, message=message)]


def encode_settings(cfg: Settings) -> bytes:
    """Return `cfg` as TOML."""
    return msgspec.toml.encode(cfg)
