"""What an entry process tells operators about itself."""

import msgspec

from pimentospool._generated.status import EntryStatus
from pimentospool.admin import Page

STATUS_PATH = "/status"


def status_page(status: EntryStatus) -> Page:
    """Return `status` as an admin page."""
    return Page(content_type="application/json", body=msgspec.json.encode(status))
