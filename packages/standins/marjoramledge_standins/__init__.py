"""Stand-ins for what surrounds the system, and what drives them.

Not shipped.  ``platform_service`` and ``backend_server`` are programs;
``demo`` and ``measure`` run whole deployments of them on this machine.
"""
