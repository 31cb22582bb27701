"""What the modules of troubles share."""

from collections.abc import Awaitable, Callable

from soak.plan import Trouble

Act = Callable[[Trouble], Awaitable[None]]
