"""Closing sockets."""

import socket


def close_socket(sock: socket.socket) -> None:
    """Closes a socket, ignoring errors: on Linux close(2) releases the descriptor even if it fails."""
    try:
        sock.close()
    except OSError:
        pass
