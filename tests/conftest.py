"""Settings of the test run."""

from hypothesis import settings

# The verdict on a submission must be the same on every run.
settings.register_profile("repeatable", derandomize=True, database=None, deadline=None)

# Looks for new counterexamples: pytest --hypothesis-profile=explore
settings.register_profile("explore", max_examples=2000, deadline=None)

settings.load_profile("repeatable")
