from hypothesis import given
from hypothesis import strategies as st

from pimentospool.policy import KeyTable, key_digest

keys = st.binary(min_size=1, max_size=4)


@given(st.dictionaries(st.text(max_size=2), st.lists(keys)), keys)
def test_key_is_that_of_the_first_owner_that_has_it(owners, key):
    table = KeyTable(
        (owner, [key_digest(item) for item in items]) for owner, items in owners.items()
    )
    expected = next((owner for owner, items in owners.items() if key in items), None)
    assert table.owner(key_digest(key)) == expected
    assert table.owner(None) is None


def test_digest_does_not_contain_the_key():
    assert b"k-1" not in key_digest(b"k-1")
