"""The operator command, ``marjoramledge``.

Operators edit documents that they keep under version control; this command
checks them, shows what they would change, puts them in force and shows how
the fleet stands.
"""
