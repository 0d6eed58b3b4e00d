"""Admission: the customers' limits and the queue of long requests."""

import asyncio
import time
from pathlib import Path

import pytest

from pimentospool.admission import Admission
from pimentospool.errors import Reason, RequestFailure
from pimentospool.ids import CustomerId, EntryId, RequestId
from pimentospool.manifest import ManifestIndex, read_manifest
from pimentospool.policy import QuotaShares, RouteRefusal
from pimentospool.requests import GatewayRequest, RequestKind
from pimentospool.verdicts import Verdict

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
NO_ROOM = RouteRefusal(
    reason=Reason.OVERLOADED,
    detail="no room",
    retry_after_seconds=2.0,
    may_wait=True,
    work_seconds=0.1,
)


def make_admission(queue_length=2):
    index = ManifestIndex(manifest=read_manifest(EXAMPLES / "magnolia/manifest.toml"))
    shares = QuotaShares(entry=EntryId("a"), clock=time.monotonic)
    admission = Admission(shares=shares)
    admission.set_manifest(index)
    admission.queue.capacity = queue_length
    return admission, index.customers[CustomerId("home-bound")]


def request(customer, seconds):
    return GatewayRequest(
        id=RequestId("r"),
        customer=customer,
        kind=RequestKind.MODEL,
        method="POST",
        path="/v1/completions",
        body=b"",
        content_type="application/json",
        deadline=asyncio.get_running_loop().time() + seconds,
        idempotent=True,
        prompt_tokens=4000,
    )


def test_requests_leave_the_queue_by_deadline(runner):
    async def check():
        admission, customer = make_admission()
        order = []

        async def wait(name, seconds):
            await admission.wait_in_queue(request(customer, seconds), NO_ROOM)
            order.append(name)

        late = asyncio.create_task(wait("late", 60.0))
        soon = asyncio.create_task(wait("soon", 30.0))
        await asyncio.sleep(0)
        for _ in range(2):
            admission.wake_next()
            await asyncio.sleep(0)
        await asyncio.gather(late, soon)
        assert order == ["soon", "late"]
        assert admission.pressure == 0.0

    runner.run(check())


def test_full_queue_refuses_at_once(runner):
    async def check():
        admission, customer = make_admission(queue_length=1)
        first = asyncio.create_task(
            admission.wait_in_queue(request(customer, 30.0), NO_ROOM)
        )
        await asyncio.sleep(0)
        with pytest.raises(RequestFailure) as refused:
            await admission.wait_in_queue(request(customer, 30.0), NO_ROOM)
        assert refused.value.reason is Reason.OVERLOADED
        assert refused.value.verdict is Verdict.NOT_RUN
        assert refused.value.retry_after_seconds >= 1.0
        admission.wake_next()
        await first

    runner.run(check())


def test_request_past_its_deadline_leaves_the_queue(runner):
    async def check():
        admission, customer = make_admission()
        with pytest.raises(RequestFailure) as refused:
            await admission.wait_in_queue(request(customer, 0.15), NO_ROOM)
        assert refused.value.reason is Reason.OVERLOADED
        assert len(admission.queue) == 0

    runner.run(check())


def test_request_of_a_disconnected_caller_leaves_the_queue(runner):
    async def check():
        admission, customer = make_admission()
        waiting = asyncio.create_task(
            admission.wait_in_queue(request(customer, 30.0), NO_ROOM)
        )
        await asyncio.sleep(0)
        assert len(admission.queue) == 1
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert len(admission.queue) == 0

    runner.run(check())


def test_quota_refuses_and_in_flight_count_is_released(runner):
    async def check():
        admission, customer = make_admission()
        req = request(customer, 30.0)
        refused = None
        for _ in range(1000):
            try:
                with admission.admit(req):
                    pass
            except RequestFailure as exc:
                refused = exc
                break
        assert refused is not None
        assert refused.reason is Reason.QUOTA_EXCEEDED
        assert refused.verdict is Verdict.NOT_RUN
        assert admission._limiter.in_flight(customer.id) == 0

    runner.run(check())
