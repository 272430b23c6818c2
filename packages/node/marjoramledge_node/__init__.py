"""The node process, which runs on the VM of each backend server.

``marjoramledge_core`` makes the decisions, without I/O.  This package runs it
with sockets, timers and clients.  Public modules: ``process`` runs a node,
``peers`` is for clients of a node's peer port and ``headers`` has the HTTP
headers.
"""
