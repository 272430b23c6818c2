"""Settings of all tests: hypothesis gives the same verdict on every run."""

import hypothesis

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    # Some of these checks look at the clock.
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("ci")
