"""Hypothesis settings of all tests: each run draws the same examples."""

import hypothesis

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    # Some health checks depend on the speed of the machine.
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("ci")
