"""Hypothesis settings for seeded tests: the same examples in every run, unshrunk."""

from hypothesis import HealthCheck, Phase, settings

SEEDED = settings(
    max_examples=40,
    derandomize=True,
    deadline=None,
    database=None,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)
