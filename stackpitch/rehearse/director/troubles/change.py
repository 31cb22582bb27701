"""Engines that change to another vocabulary one after another, and edits of the files that a change is decided by."""

import signal

import msgspec

from stackpitch.loop import SECOND, Coro, Group, Time
from stackpitch.rehearse.day import Trouble
from stackpitch.rehearse.director.calls import call
from stackpitch.rehearse.director.lists import Lists
from stackpitch.rehearse.director.places import HOST, Post
from stackpitch.rehearse.director.processes import Processes
from stackpitch.rehearse.director.stage import Stage
from stackpitch.rehearse.director.troubles.servers import Servers


class Change:
    """Brings one part of a change."""

    def __init__(self, stage: Stage, lists: Lists, processes: Processes, servers: Servers) -> None:
        self.stage, self.lists, self.processes, self.servers = stage, lists, processes, servers

    def bring(self, group: Group, trouble: Trouble, lasts: Time) -> Coro[None]:
        made = self.stage.vocabularies
        assert made is not None
        if trouble.kind == "vocabulary-roll":
            yield from self.roll(group, trouble, lasts)
        elif trouble.kind == "vocabulary-profiles":
            made.write_profiles()
            self.stage.say(f"sampling profiles edited, version {made.edits}")
        else:
            yield from self.word(trouble, lasts)

    def word(self, trouble: Trouble, lasts: Time) -> Coro[None]:
        """An operator's word to any gateway, said again until the owner has taken it or the time for it is over, as it may not
        fit the change's state: noted."""
        end, answer = self.stage.world.now() + max(lasts, 10 * SECOND), ""
        while self.stage.world.now() < end:
            for post in self.stage.posts.values():
                answer = yield from self.said(post, trouble)
                if answer == "yes":
                    self.stage.say(f"{trouble.word}: taken")
                    self.stage.recorder.note("word", word=trouble.word, taken=True)
                    return
            yield from self.stage.world.sleep(SECOND // 2)
        self.stage.say(f"{trouble.word}: not taken: {answer[:300]}")
        self.stage.recorder.note("word", word=trouble.word, taken=False, said=answer[:300])

    def said(self, post: Post, trouble: Trouble) -> Coro[str]:
        """What came of it at one gateway: "yes", or why not. A confirmation names the verdict that stands there."""
        admin = HOST, post.admin
        target = f"/vocabulary/{trouble.word.replace(' ', '-')}?old=old&new=new"
        if trouble.word == "confirm":
            told = yield from call(self.stage.world, admin, "/vocabulary", b"", "GET")
            change = (
                msgspec.json.decode(b"".join(told.pieces))
                if told is not None and told.status == 200
                else None
            )
            if not change or change["word"] != "held":
                return f"not held: {change['word'] if change else 'no change'}"
            target = f"/fleet/confirm?digest={change['summary']['digest']}"
        answer = yield from call(self.stage.world, admin, target, b"")
        if answer is None:
            return "no answer"
        return "yes" if answer.status == 200 else b"".join(answer.pieces).decode()

    def roll(self, group: Group, trouble: Trouble, lasts: Time) -> Coro[None]:
        """Listed as draining, drained, stopped, back with the other tokenizer and listed with it. `part` of those that are
        not on it yet, in the order of their names: a later roll to the same vocabulary goes on where one stopped."""
        seats = [one for one in self.stage.seats.values() if one.vocabulary != trouble.vocabulary]
        seats = seats[: max(1, round(trouble.part * len(seats)))] if seats else []
        self.stage.say(f"{len(seats)} servers change to the {trouble.vocabulary} vocabulary")
        for seat in seats:
            began = self.stage.world.now()
            seat.state = "draining"
            self.lists.tell(group)
            yield from self.servers.control(seat, "drain", 1.0, True)
            yield from self.stage.world.sleep(
                max(int(1.6 * self.stage.day.notice_s * SECOND), lasts // len(seats) // 2)
            )
            self.stage.kill(seat, signal.SIGTERM)
            seat.vocabulary = trouble.vocabulary
            yield from self.processes.back(seat)
            self.lists.tell(group)
            yield from self.stage.world.sleep(began + lasts // len(seats) - self.stage.world.now())
        self.stage.say("roll over")
