"""Sessions as they come and go on: whose, with which texts, how many turns."""

from typing import TYPE_CHECKING

from stackpitch.loop import SECOND, Coro, Group, Random, World
from stackpitch.rehearse.clients.asking import Asking
from stackpitch.rehearse.clients.settings import ClientSettings, ProductTraffic, Surge
from stackpitch.rehearse.clients.turn import Turn
from stackpitch.rehearse.records import Recorder

if TYPE_CHECKING:
    from stackpitch.rehearse.clients.speech import Speech

WORDS = [f"{first}{second}{third}" for first in "bdfgklmnprst" for second in "aeiou" for third in "lnrsx"]


class Sessions:
    """All clients of a day, a task each."""

    def __init__(self, world: World, settings: ClientSettings, recorder: Recorder) -> None:
        self.world, self.set = world, settings
        self.asking = Asking(world, settings, recorder)
        self.speech: Speech | None = None
        if settings.speaking is not None:
            from stackpitch.rehearse.clients import speech  # the library is for days with vocabularies alone

            self.speech = speech.Speech(settings.speaking)
        self.sessions = 0

    def text(self, random: Random, tok: float) -> str:
        count = max(1, int(tok * 4) // 4)
        return " ".join(random.choices(WORDS, k=count))  # a word and its blank: about a token

    def surge(self, kind: str) -> Surge | None:
        at = (self.world.now() - self.set.start) / SECOND
        return next(
            (one for one in self.set.surges if one.kind == kind and one.at_s <= at < one.at_s + one.for_s),
            None,
        )

    def arrive(self, group: Group) -> Coro[None]:
        random = self.world.rng("arrivals")
        products, shares = self.set.products, [one.share for one in self.set.products]
        turns = sum(one.turns * one.share for one in products) / sum(shares)
        weights = [
            one.share / one.turns for one in products
        ]  # shares are of generations, draws are of sessions
        session_rate = self.set.rate_per_s / turns
        yield from self.world.sleep(self.set.start - self.world.now())
        end = self.set.start + int(self.set.length_s * SECOND)
        while self.world.now() < end:
            burst = self.surge("burst")
            rate = session_rate * (burst.strength if burst else 1.0)
            yield from self.world.sleep(int(random.expovariate(rate) * SECOND))
            if self.world.now() >= end:
                break
            self.sessions += 1
            product = random.choices(products, weights)[0]
            group.spawn(self.session(f"s{self.sessions}", product), "session")

    def session(self, name: str, product: ProductTraffic) -> Coro[None]:
        random = self.world.rng(f"session {name}")
        customers = list(self.set.customers)
        customer = (
            random.choices(customers, [self.set.customers[one] for one in customers])[0] if customers else ""
        )
        messages: list[dict[str, str]] = []
        hot = self.surge("hot-text")
        if hot is not None and random.random() < hot.part:
            opening = self.text(self.world.rng("hot text"), 1000 * hot.strength)
            messages.append({"role": "system", "content": opening})
        elif random.random() < product.opening_share:
            number = min(int(random.paretovariate(1.0)) - 1, product.openings - 1)
            opening = self.text(self.world.rng(f"opening {product.name} {number}"), product.opening_tok)
            messages.append({"role": "system", "content": opening})
        count = (
            min(12, 1 + int(random.expovariate(1 / max(1e-6, product.turns - 1)))) if product.turns > 1 else 1
        )
        for number in range(count):
            tok = product.new_tok * random.lognormvariate(-0.18, 0.6)
            heavy = self.surge("heavy-tail")
            if heavy is not None and random.random() < heavy.part:
                tok *= heavy.strength
            messages = [*messages, {"role": "user", "content": self.text(random, tok)}]
            answer = max(
                1, min(product.limit_tok, int(product.answer_tok * random.lognormvariate(-0.18, 0.6)))
            )
            prompt_tok = sum(len(one["content"]) for one in messages) / 4
            limit = product.time_limit_ms + 2 * product.slo_ms_per_ktok * prompt_tok / 1000
            turn = Turn(f"{name}.{number}", product, customer, name, messages, answer, limit)
            if self.speech is not None:
                self.speech.speak(self.world.rng(f"speech {turn.key}"), turn)
            if not (yield from self.asking.turn(turn, random)):
                return
            messages = [*messages, {"role": "assistant", "content": turn.answer}]
            think = int(random.expovariate(1 / max(0.01, self.set.think_s)) * SECOND)
            if self.world.now() + think > self.set.start + self.set.length_s * SECOND:
                return  # the next turn would come after the day's end
            yield from self.world.sleep(think)
