"""The decisions of the load balancer, as a library without I/O.

Import the public modules: ``configuration`` for the inventory and rules,
``messages`` for the events and commands of a node, and ``node`` for the state
machine that turns the former into the latter.
"""
