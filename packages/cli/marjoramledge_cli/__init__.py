"""The operator command, ``marjoramledge``.

Operators keep the documents of the configuration under version control.  This
command checks them, shows what they would change, puts them in force and shows
the status of the fleet.
"""
