"""Signed texts of any content: hop headers and operation tickets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentospool._generated.callers import HopHeader
from pimentospool.hops import HopSigner
from pimentospool.ids import CustomerId, EntryId, RegionId, RequestId
from pimentospool.operations import TicketSigner

KEY = "a-key-of-sixteen-characters"
HOPS = HopSigner(key=KEY)
TICKETS = TicketSigner(key=KEY)
HEADER = HopHeader(
    request_id=RequestId("r"),
    customer=CustomerId("c"),
    ingress=EntryId("e"),
    ingress_region=RegionId("g"),
    revision=1,
    deadline_seconds=1.0,
)
anything = st.text(st.characters(exclude_categories=()), max_size=120)


@given(value=anything)
@pytest.mark.parametrize("signer", [HOPS, TICKETS])
def test_text_of_any_content_is_not_accepted(signer, value):
    assert signer.verify(value) is None


@given(payload=st.text(max_size=60))
@pytest.mark.parametrize("signer", [HOPS, TICKETS])
def test_signed_text_of_any_payload_is_refused_or_read(signer, payload):
    mac = signer._mac(payload.encode("utf-8", "surrogatepass"))
    signer.verify(f"{payload}.{mac}")


def test_signed_header_is_read_and_a_changed_one_is_not():
    text = HOPS.sign(HEADER)
    assert HOPS.verify(text) == HEADER
    assert HOPS.verify("A" + text[1:]) is None


def test_header_is_not_accepted_for_another_use_or_key():
    text = HOPS.sign(HEADER)
    assert TICKETS.verify(text) is None
    assert HopSigner(key="another-key-of-sixteen").verify(text) is None
