"""Client of the platform's table service and object store.

Used by the node and by the operator's command.  ``client`` is the public
module for the table service and the object store, ``followed`` the one for
stores with a change feed, and ``bounded_http`` has the connections that the
node uses to servers and peers as well.
"""
