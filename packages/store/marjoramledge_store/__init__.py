"""Client of the platform's table service and object store.

Shared by the node and the operator command; the public module is ``client``.
"""
