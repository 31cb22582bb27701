"""Reading the files and judging by them: in short steps, or in a process of its own that holds up no gateway."""

from stackpitch.duties.vocabulary.judging.files import Files, Looked, Outcome, Task, judged, looked, marks
from stackpitch.duties.vocabulary.judging.ways import InChild, InSteps, Way

__all__ = ["Files", "InChild", "InSteps", "Looked", "Outcome", "Task", "Way", "judged", "looked", "marks"]
