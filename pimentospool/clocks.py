"""Clocks of the machine."""

import time


def boot_time() -> float:
    """Return a monotonic time in seconds that also counts while the VM is suspended.

    `time.monotonic` stands still then, so that what was known before counts as recent.
    """
    if hasattr(time, "CLOCK_BOOTTIME"):
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    return time.monotonic()
