"""Verification of signed hop headers and operation tickets with any content."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentospool._generated.callers import HopHeader
from pimentospool.hops import HopSigner
from pimentospool.ids import CustomerId, EntryId, RegionId, RequestId
from pimentospool.operations import TicketSigner

KEY = "a-key-of-sixteen-characters"
HOP_SIGNER = HopSigner(key=KEY)
TICKET_SIGNER = TicketSigner(key=KEY)
HEADER = HopHeader(
    request_id=RequestId("r"),
    customer=CustomerId("c"),
    ingress=EntryId("e"),
    ingress_region=RegionId("g"),
    revision=1,
    deadline_seconds=1.0,
)
any_text = st.text(st.characters(exclude_categories=()), max_size=120)


@given(value=any_text)
@pytest.mark.parametrize("signer", [HOP_SIGNER, TICKET_SIGNER])
def test_unsigned_text_is_rejected(signer, value):
    assert signer.verify(value) is None


@given(payload=st.text(max_size=60))
@pytest.mark.parametrize("signer", [HOP_SIGNER, TICKET_SIGNER])
def test_signed_payload_of_any_content_raises_no_error(signer, payload):
    mac = signer._mac(payload.encode("utf-8", "surrogatepass"))
    signer.verify(f"{payload}.{mac}")


def test_signed_header_verifies_and_a_changed_one_does_not():
    text = HOP_SIGNER.sign(HEADER)
    assert HOP_SIGNER.verify(text) == HEADER
    assert HOP_SIGNER.verify("A" + text[1:]) is None


def test_header_does_not_verify_as_a_ticket_or_with_another_key():
    text = HOP_SIGNER.sign(HEADER)
    assert TICKET_SIGNER.verify(text) is None
    assert HopSigner(key="another-key-of-sixteen").verify(text) is None
