"""The descriptors of the process that looks, for tests that lose some."""

import os
import socket
import typing

# The kernel's number of the state of a connection that opens.
_TCP_SYN_SENT: typing.Final = 2


def find_opening() -> set[int]:
    """Find the sockets of this process whose connections still open."""
    found = set()
    for name in os.listdir("/proc/self/fd"):
        try:
            with socket.socket(fileno=os.dup(int(name))) as opened:
                info = opened.getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_INFO, 1
                )
        except OSError:
            continue
        if info[0] == _TCP_SYN_SENT:
            found.add(int(name))
    return found
