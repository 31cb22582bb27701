"""What a gateway makes of token ids while a fleet has more than one vocabulary. Pure; no file, no library."""

from stackpitch.duties.vocabulary.acting.asked import Asked, asked
from stackpitch.duties.vocabulary.acting.decide import Acting, Narrowed
from stackpitch.duties.vocabulary.acting.known import Known, Seen, Told
from stackpitch.duties.vocabulary.acting.written import Written

__all__ = ["Acting", "Asked", "Known", "Narrowed", "Seen", "Told", "Written", "asked"]
