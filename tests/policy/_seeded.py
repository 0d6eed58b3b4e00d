"""Seeds of the tests that generate their own steps."""

SEED_COUNT = 40


def check_seeds(check):
    """Call `check` with the same seeds in every run.

    Hypothesis draws numbers that depend on the modules that are loaded, even if it is
    derandomized.
    """
    for seed in range(SEED_COUNT):
        try:
            check(seed)
        except AssertionError as exc:
            exc.add_note(f"seed {seed}")
            raise
