"""Stand-ins for the platform and backend servers, and programs that use them.

Not shipped.  ``platform_service`` and ``backend_server`` are programs;
``demo`` and ``measure`` run whole deployments of them on this machine.
"""
