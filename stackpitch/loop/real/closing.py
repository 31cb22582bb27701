"""Closing sockets."""

import socket


def close_socket(sock: socket.socket) -> None:
    """The descriptor is free afterwards whatever the system says of it, as close(2) has it on Linux."""
    try:
        sock.close()
    except OSError:  # guards whoever closes against an error that concerns nobody any more
        pass
