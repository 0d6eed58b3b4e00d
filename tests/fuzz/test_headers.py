"""Hop headers of any content."""

from hypothesis import given
from hypothesis import strategies as st

from pimentospool.hops import HopSigner

SIGNER = HopSigner(key="a-key-of-sixteen-characters")


@given(value=st.text(st.characters(exclude_categories=()), max_size=120))
def test_hop_header_of_any_text_is_not_accepted(value):
    assert SIGNER.verify(value) is None


@given(payload=st.text(max_size=60))
def test_signed_hop_header_of_any_payload_is_refused_or_read(payload):
    mac = SIGNER._mac(payload.encode("utf-8", "surrogatepass"))
    SIGNER.verify(f"{payload}.{mac}")
