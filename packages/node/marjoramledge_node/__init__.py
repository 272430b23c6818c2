"""The node: the process in the slot beside each backend server.

``marjoramledge_core`` decides; this package is the shell round it, with the
sockets, the timers and the clients.  Public modules: ``peers`` for those who
speak to nodes and ``headers`` for those who speak HTTP with them.
"""
