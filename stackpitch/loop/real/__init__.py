"""The world on the operating system: epoll, non-blocking sockets, clock, signals, child processes."""

from stackpitch.loop.real.listener import RealListener
from stackpitch.loop.real.stream import RealStream
from stackpitch.loop.real.world import RealWorld

__all__ = ["RealListener", "RealStream", "RealWorld"]
