"""Decision logic of the load balancer, as a library without I/O.

The public modules are ``configuration`` for the inventory and rules, ``ids``
for the identifier types, and ``node`` for the state machine of a node with
its events and commands.
"""
