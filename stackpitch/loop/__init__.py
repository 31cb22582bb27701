"""Event loop on `select.epoll` whose tasks are generators.

Offers timers, cancellation scopes, task groups, streams, signals and child processes.

All waiting, clock reads, socket I/O and random numbers of the program's I/O layers go through a `World`;
`RealWorld` is the implementation on the operating system. Times are integers in tenths of a millisecond.
"""

from random import Random

from stackpitch.loop.file_system import FileSystem, RealFileSystem
from stackpitch.loop.files import Files, RealFiles
from stackpitch.loop.real import RealWorld
from stackpitch.loop.task import Cancelled, Coro, Group, Scope, Task
from stackpitch.loop.timers import Time, Timer, Timers
from stackpitch.loop.turn_limiter import TurnLimiter
from stackpitch.loop.wait_queue import Semaphore, WaitQueue
from stackpitch.loop.world import (
    Child,
    ConnectFailed,
    ConnectionLost,
    Listener,
    LocalFault,
    Stream,
    Watch,
    World,
)

MS, SECOND = 10, 10_000

__all__ = [
    "MS",
    "SECOND",
    "Cancelled",
    "Child",
    "ConnectFailed",
    "ConnectionLost",
    "Coro",
    "FileSystem",
    "Files",
    "Group",
    "Listener",
    "LocalFault",
    "Random",
    "RealFileSystem",
    "RealFiles",
    "RealWorld",
    "Scope",
    "Semaphore",
    "Stream",
    "Task",
    "Time",
    "Timer",
    "Timers",
    "TurnLimiter",
    "WaitQueue",
    "Watch",
    "World",
]
