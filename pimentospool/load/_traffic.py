"""Generates the requests of a deployment's callers."""

import random
from collections.abc import Callable

import msgspec

from pimentospool._generated.callers import ChatMessage, ChatRequest
from pimentospool._generated.records import CallKind
from pimentospool.ids import CustomerId, RegionId, ServiceId
from pimentospool.manifest import Customer, Manifest, ServiceCall
from pimentospool.revisions import digest_of

KeyOf = Callable[[Customer], str]
CHAT_PATH = "/v1/chat/completions"
SERVICES_PREFIX = "/v1/services/"
_PREFIX_COUNT = 8
_FILLER_WORDS = "care label and history "


class TrafficMix(msgspec.Struct, kw_only=True, frozen=True):
    """Shares of the kinds of calls, and sizes of model requests and answers.

    Shares are relative weights and need not add up to 1. Prompts are measured in
    words, answers in tokens.
    """

    short: float = 0.35
    long: float = 0.05
    idempotent: float = 0.25
    non_idempotent: float = 0.35
    short_words: int = 40
    long_words: int = 1200
    short_tokens: int = 6
    long_tokens: int = 24

    def weights(self) -> dict[CallKind, float]:
        """Return the share of each kind."""
        return {
            CallKind.SHORT: self.short,
            CallKind.LONG: self.long,
            CallKind.IDEMPOTENT: self.idempotent,
            CallKind.NON_IDEMPOTENT: self.non_idempotent,
        }


_DEPLOYMENT_MIXES = {
    "magnolia": TrafficMix(short=0.4, long=0.05, idempotent=0.2, non_idempotent=0.35),
    "tsuzumi": TrafficMix(short=0.25, long=0.15, idempotent=0.25, non_idempotent=0.35),
}


def deployment_mix(deployment: str) -> TrafficMix:
    """Return the mix of an example deployment, or the default mix for any other."""
    return _DEPLOYMENT_MIXES.get(deployment, TrafficMix())


def example_key(customer: Customer) -> str:
    """Return the bearer key of a customer of the example manifests."""
    return f"{customer.id}-key"


class Call(msgspec.Struct, kw_only=True, frozen=True):
    """A request for a caller to send."""

    id: str
    customer: Customer
    region: RegionId
    kind: CallKind
    method: str
    path: str
    body: bytes
    prompt: str = ""
    max_tokens: int = 0

    @property
    def body_digest(self) -> str:
        """SHA-256 of the body."""
        return digest_of(self.body)


class TrafficSource:
    """Generates calls, the same ones for the same seed.

    Parameters
    ----------
    manifest : Manifest
        Manifest with the customers, models and services.
    mix : TrafficMix
        Shares of the kinds of calls, and their sizes.
    rng : random.Random
        Generator for all choices.
    run_id : str
        Prefix of the id of every call, unique to the run.
    """

    def __init__(
        self, *, manifest: Manifest, mix: TrafficMix, rng: random.Random, run_id: str
    ) -> None:
        self._manifest = manifest
        self._mix = mix
        self._rng = rng
        self._run_id = run_id
        self._call_count = 0

    def next_call(self, region: RegionId) -> Call:
        """Return the next call of a caller in `region`."""
        weights = self._mix.weights()
        kind = self._rng.choices(list(weights), weights=list(weights.values()))[0]
        customer = self._rng.choice(self._customers(region))
        self._call_count += 1
        call_id = f"{self._run_id}-{self._call_count}"
        if kind in (CallKind.IDEMPOTENT, CallKind.NON_IDEMPOTENT):
            return self._service_call(call_id, customer, region, kind)
        return self._model_call(call_id, customer, region, kind)

    def _customers(self, region: RegionId) -> list[Customer]:
        customers = self._manifest.customers
        home_customers = [
            item for item in customers if item.allowed_regions[0] == region
        ]
        allowed = [item for item in customers if region in item.allowed_regions]
        return home_customers or allowed or customers

    def _model_call(
        self, call_id: str, customer: Customer, region: RegionId, kind: CallKind
    ) -> Call:
        short = kind is CallKind.SHORT
        words = self._mix.short_words if short else self._mix.long_words
        max_tokens = self._mix.short_tokens if short else self._mix.long_tokens
        prefix = f"{customer.id} {self._rng.randrange(_PREFIX_COUNT)} {kind.value} "
        text = prefix + _FILLER_WORDS * (words // len(_FILLER_WORDS.split())) + call_id
        body = ChatRequest(
            model=customer.models[0],
            messages=[ChatMessage(role="user", content=text)],
            stream=True,
            max_tokens=max_tokens,
        )
        return Call(
            id=call_id,
            customer=customer,
            region=region,
            kind=kind,
            method="POST",
            path=CHAT_PATH,
            body=msgspec.json.encode(body),
            prompt=f"user\n{text}\n",
            max_tokens=max_tokens,
        )

    def _service_call(
        self, call_id: str, customer: Customer, region: RegionId, kind: CallKind
    ) -> Call:
        service, call = self._rng.choice(
            self._service_calls(customer.id, kind is CallKind.IDEMPOTENT)
        )
        return Call(
            id=call_id,
            customer=customer,
            region=region,
            kind=kind,
            method=call.method.value,
            path=f"{SERVICES_PREFIX}{service}/{call.path}",
            body=msgspec.json.encode({"call": call_id}),
        )

    def _service_calls(
        self, customer: CustomerId, idempotent: bool
    ) -> list[tuple[ServiceId, ServiceCall]]:
        manifest_customer = next(
            item for item in self._manifest.customers if item.id == customer
        )
        return [
            (service.id, call)
            for service in self._manifest.services
            for call in service.calls
            if call.idempotent == idempotent
            and service.id in manifest_customer.services
        ]
