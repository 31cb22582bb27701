"""People at the gateways' files, as a trouble."""

from stackpitch.loop import SECOND, Coro, Group, Time
from stackpitch.rehearse.day import Trouble
from stackpitch.rehearse.director.lists import Lists
from stackpitch.rehearse.director.stage import Stage
from stackpitch.rehearse.director.troubles.editor import Editor


class Edits:
    """An editor for each gateway's file."""

    def __init__(self, stage: Stage, lists: Lists) -> None:
        self.stage, self.lists = stage, lists

    def bring(self, group: Group, trouble: Trouble, lasts: Time) -> Coro[None]:
        """`strength` edits a second in all, by one editor for each gateway's file."""
        self.stage.say(f"{trouble.strength:g} edits of lists a second")
        until = self.stage.world.now() + lasts
        gap = int(len(self.stage.posts) * SECOND / trouble.strength)
        self.stage.editing = True
        editors = [Editor(self.stage, self.lists, post, gap) for post in self.stage.posts.values()]

        def body(inner: Group) -> Coro[None]:
            yield from ()
            for editor in editors:
                inner.spawn(editor.run(until), f"editor {editor.post.name}")

        yield from self.stage.world.group(body)
        done: dict[str, int] = {}
        for editor in editors:
            for what, count in editor.done.items():
                done[what] = done.get(what, 0) + count
        self.stage.recorder.note("edits", done=done)
        self.stage.say(f"edits over: {sum(done.values()) - done.get('broken and rejected', 0)}")
