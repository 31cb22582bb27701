"""Vocabularies, what parameters mean in the next one, a change for the fleet, and what gateways make of it."""

import json
import random
from functools import partial
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest
from play import Play, scenarios
from tokenizers import Tokenizer, decoders, models, pre_tokenizers, trainers

from stackpitch.duties.calls import FORMAT_VERSION, Call, Stamp, encode_body
from stackpitch.duties.carrier import Duties, DutiesConfig
from stackpitch.duties.vocabulary import catalogue, errors
from stackpitch.duties.vocabulary.acting import Acting, Asked, Known, Seen, Told, Written, asked, decide
from stackpitch.duties.vocabulary.carrying import pages
from stackpitch.duties.vocabulary.catalogue.form import LETTERS
from stackpitch.duties.vocabulary.change import Change, Machine, Summary, read, written
from stackpitch.duties.vocabulary.judging import Files, InChild, InSteps, Looked, Task
from stackpitch.duties.vocabulary.owning import Asking
from stackpitch.duties.vocabulary.parameters import Parameters
from stackpitch.duties.vocabulary.profiles import Profiles, read_profiles
from stackpitch.duties.vocabulary.verdicts import (
    FieldVerdict,
    Finding,
    Judge,
    Pair,
    ProfileVerdict,
    Ratio,
    Verdicts,
    measured,
)
from stackpitch.duties.vocabulary.verdicts.judge import Digests
from stackpitch.duties.vocabulary.verdicts.pair import Run
from stackpitch.duties.vocabulary.work import VocabularyWork
from stackpitch.gateway.client_request import OpenAIRequest
from stackpitch.gateway.vocabulary_filter import VocabularyFilter
from stackpitch.loop import SECOND, RealWorld
from stackpitch.loop.virtual import VirtualWorld
from stackpitch.preferences import Preferences, RuledBrain

LETTER = {byte: letter for letter, byte in LETTERS.items()}


def tokenizer(words):
    """Ids in order: `</s>!` an end, `<pad>*` special, `_` a space. Merges from the tokens that two others make."""
    bare = [word.rstrip("!*").replace("_", " ") or word for word in words]
    letters = ["".join(LETTER[byte] for byte in word.encode()) for word in bare]
    plain = {
        letter: place
        for place, (letter, word) in enumerate(zip(letters, words))
        if word[-1] not in "!*" or len(word) == 1
    }
    merges = []
    for token in sorted(plain, key=len):
        ways = [(token[:cut], token[cut:]) for cut in range(len(token) - 1, 0, -1)]
        merges += [way for way in ways if way[0] in plain and way[1] in plain][:1]
    tree = {
        "version": "1.0",
        "added_tokens": [
            {
                "id": place,
                "content": bare[place],
                "special": True,
                "single_word": False,
                "lstrip": False,
                "rstrip": False,
                "normalized": False,
            }
            for place, word in enumerate(words)
            if word[-1] in "!*" and len(word) > 1
        ],
        "normalizer": None,
        "pre_tokenizer": {
            "type": "ByteLevel",
            "add_prefix_space": False,
            "trim_offsets": True,
            "use_regex": False,
        },
        "post_processor": None,
        "decoder": {"type": "ByteLevel", "add_prefix_space": True, "trim_offsets": True, "use_regex": True},
        "model": {
            "type": "BPE",
            "dropout": None,
            "unk_token": None,
            "continuing_subword_prefix": None,
            "end_of_word_suffix": None,
            "fuse_unk": False,
            "byte_fallback": False,
            "vocab": plain,
            "merges": [list(one) for one in merges],
        },
    }
    return json.dumps(tree).encode()


def made(name, words):
    ends = tuple(word[:-1] for word in words if word[-1] == "!")
    return catalogue.vocabulary(tokenizer(words), f"{name}.json", name, ends)


class Judging:
    """
    old </s>! a _b          its tokens in order of ids (`!` an end, `*` special, `_` a space); so `new`
    bias a=2 | stop a | allow a b | word b+a | string TEXT | top_k 3 | min 5 | max 9 | bounds 1 9     the profile; words once each
    samples TEXT 40         a text, so many times
    > FIELD WORD lost ids: TOKENS = VALUE | words of the verdict | ...
    """

    def __init__(self):
        self.known, self.words, self.given, self.samples, self.judged = {}, {}, {}, [], None

    def sequence(self, word):
        return [
            self.words["old"].index(one) for one in ([word] if word in self.words["old"] else word.split("+"))
        ]

    def line(self, text):
        what, _, rest = text.partition(" ")
        words = rest.split()
        if what in ("old", "new"):
            self.known[what], self.words[what] = (
                made(what, words),
                [word.rstrip("!*") or word for word in words],
            )
        elif what == "samples":
            self.samples = [words[0]] * int(words[1])
        elif what == "bias":
            self.given["logit_bias"] = {
                str(self.sequence(one.split("=")[0])[0]): float(one.split("=")[1]) for one in words
            }
        elif what in ("stop", "allow"):
            self.given[{"stop": "stop_token_ids", "allow": "allowed_token_ids"}[what]] = [
                self.sequence(one)[0] for one in words
            ]
        elif what == "id-stop":
            self.given["stop_token_ids"] += map(int, words)
        elif what == "word":
            self.given.setdefault("bad_words_ids", []).append(self.sequence(rest))
        elif what == "string":
            self.given["stop"] = [rest]
        elif what == "bounds":
            self.given["max_tokens_bounds"] = {"least": int(words[0]), "most": int(words[1])}
        elif what != ">":
            self.given[{"min": "min_tokens", "max": "max_tokens"}.get(what, what)] = json.loads(rest)
        else:
            self.expect(*rest.split(" | "))

    def expect(self, first, *said):
        if self.judged is None:
            old, new = self.known["old"], self.known["new"]
            ratio = measured(old, new, self.samples) if self.samples else Ratio()
            self.judged = Judge(Pair(old, new), ratio, Profiles(), {}).one(
                "p", Parameters.model_validate(self.given)
            )
        field, rest = first.split(" ", 1)
        if field == "worst":
            assert self.judged.word == rest
            return
        found = self.judged.field(field)
        rest, _, value = rest.partition(" = ")
        rest, _, ids = rest.partition(" ids: ")
        assert f"{found.word}{' lost' if found.lost else ''}" == rest, found
        if value:
            assert str(found.translated) == value
        if ids:
            assert found.translated == self.new(field, ids.split()), found.translated
        told = str(found) + f"{len(found.findings)} findings"
        assert all(one in told for one in said), told

    def new(self, field, words):
        at = self.words["new"].index
        if field == "logit_bias":
            return {str(at(one.split("=")[0])): float(one.split("=")[1]) for one in words}
        return (
            [[at(one) for one in word.split("+")] for word in words]
            if field == "bad_words_ids"
            else [at(one) for one in words]
        )


class Changing:
    """
    limit 0.1 | announce A B P1 | judged P1 V1 0.05 | edited P2 | seen A=3 B=1 | confirm V1 | call-off WHY
    > WORD words of why | ! ERROR words     of the last line; a record goes through its bytes after each
    """

    def __init__(self):
        self.machine, self.wrong = Machine(), None

    def line(self, text):
        what, *words = text.split()
        machine, self.wrong = self.machine, None if what != "!" else self.wrong
        calls = {
            "announce": machine.announce,
            "edited": machine.edited,
            "confirm": machine.confirm,
            "call-off": lambda *words: machine.call_off(" ".join(words)),
            "seen": lambda *words: machine.seen({one[0]: int(one[2:]) for one in words}),
            "judged": lambda of, verdict, share: machine.judged(
                Digests(machine.change.old, machine.change.new, of),
                Summary(verdict, 10, int(10 * float(share)), float(share)),
            ),
        }
        if what == "limit":
            machine.most_share = float(words[0])
        elif what == "!":
            assert (
                type(self.wrong).__name__ == words[0]
                and " ".join(words[1:]) in str(self.wrong)
                and self.wrong.remedy
            ), self.wrong
        elif what == ">":
            change = machine.change
            told = f"{change.word} {change.summary or 'none'} {change.new} {change.why}"
            assert told.startswith(words[0]) and all(word in told for word in words), told
            assert change.admits(change.old) and change.admits(change.new) is (
                change.word in ("allowed", "mixed", "done")
            )
        else:
            before = machine.record
            try:
                calls[what](*words)
            except errors.VocabularyError as wrong:
                self.wrong = wrong
                assert machine.record == before
            machine.record = read(written(machine.record))


class Gate:
    """
    servers w1=A w2         vocabulary by server; A, B are seen here with profiles P1; `see P2`
    told mixed V1 stamp=1 version=2     a change from A to B with ids 0-2 the same, 3-5 ten further on; `forged`: of another digest
    gen A profile=good FIELD=JSON       its vocabulary (- unstated) and fields
    > untouched | > A {} B {"FIELD":...} | ! ERROR words
    """

    def __init__(self):
        self.known, self.answer, self.version = Known(), None, 0
        self.acting = Acting(self.known)
        self.acting.seen = Seen({"A": "a", "B": "b"}, "P1")

    def line(self, text):
        what, *words = text.split()
        if what == "servers":
            self.acting.listed(
                {name: kind or None for name, _, kind in (one.partition("=") for one in words)}
            )
        elif what == "see":
            self.acting.seen = Seen({"A": "a", "B": "b"}, words[0])
        elif what == "told":
            self.version += 1
            said = dict(one.split("=") for one in words[2:] if "=" in one)
            verdicts = verdicts_on(Digests("A", "B", "P1"))
            digest = "0" * 32 if "forged" in words else verdicts.digest()
            change = Change(
                1,
                words[0].replace("_", " "),
                "A",
                "B",
                "P1",
                Summary(digest, 1, 0, 0.0),
                version=int(said.get("version", self.version)),
            )
            self.known.take(Told(Stamp(int(said["stamp"])), change, verdicts))
        elif what == "gen":
            named = dict(one.split("=", 1) for one in words[1:] if "=" in one)
            profile = named.pop("profile", None)
            try:
                ids = asked(
                    {name: msgspec.Raw(value.encode()) for name, value in named.items() if name != "own"}
                )
                filled = frozenset(
                    {
                        "good": ("bad_words_ids", "min_tokens"),
                        "bad": ("stop_token_ids",),
                        "two": ("stop_token_ids", "bad_words_ids"),
                    }.get(profile, ())
                ) - {named.get("own")}
                found = self.acting.decide(
                    Asked(
                        ids,
                        None if words[0] == "-" else words[0],
                        profile,
                        filled,
                        {"max_tokens": 100} if "limit" in words else {},
                    )
                )
                self.answer = (
                    "untouched"
                    if found is None
                    else " ".join(
                        f"{kind} {msgspec.json.encode(fields, order='deterministic').decode()}"
                        for kind, fields in found.fields.items()
                    )
                )
            except errors.VocabularyError as wrong:
                self.answer = f"{type(wrong).__name__} {wrong}"
                assert wrong.remedy
        elif what == ">":
            assert self.answer == text[2:], self.answer
        else:
            assert self.answer.startswith(words[0]) and " ".join(words[1:]) in self.answer, self.answer


def verdicts_on(digests, mark="same"):
    lost = FieldVerdict(
        "stop_token_ids",
        "another role",
        True,
        "",
        None,
        (Finding("another role", "id 0", "the end of text", "the text 'b'", "why", "todo"),),
    )
    good = (
        FieldVerdict("bad_words_ids", "split", False, mark, [[8], [9]]),
        FieldVerdict("min_tokens", "rescaled", False, "", 6),
    )
    two = (
        FieldVerdict("bad_words_ids", "split", False, "", [[8]]),
        FieldVerdict("stop_token_ids", "renumbered", False, "", [13]),
    )
    return Verdicts(
        digests,
        Ratio(10, 12),
        (
            ProfileVerdict("two", "split", False, two),
            ProfileVerdict("bad", "another role", True, (lost,)),
            ProfileVerdict("good", "split", False, good),
        ),
        (Run(0, 3, 0), Run(3, 3, 10)),
    )


class Narrowed(Play):
    """A play with the real module: `vocab r1=A w1=B` says who has which vocabulary, `gen ... ids=A,B` where its ids may go.
    A server that has another one than before is another server, as the gateway's roster has it."""

    def __init__(self):
        super().__init__()
        self.roster, self.asks = SimpleNamespace(vocabularies={}, servers=self.servers, lists_applied=0), {}

    @property
    def brain(self):
        if self.made is None:
            self.made = RuledBrain(
                self,
                7,
                Preferences(server_filter=VocabularyFilter(self.roster, self).allows),
                **self.arguments,
            )
            self.made.begin(self.now)
            self.made.roster(self.now, list(self.servers.values()), True)
        return self.made

    def do_vocab(self, **given):
        self.roster.lists_applied += 1
        for name, kind in given.items():
            before = self.servers[name]
            if self.roster.vocabularies.get(before, kind) != kind:
                self.do_list(name, "gone")
                self.do_server(name)
            self.roster.vocabularies[self.servers[name]] = kind

    def do_gen(self, name, product, ids=None, **given):
        self.asks[name] = OpenAIRequest(None, None, "", {}, name, False)
        self.asks[name].token_fields = (
            decide.Narrowed({one: {} for one in ids.split(",")}).spoken() if ids else None
        )
        super().do_gen(name, product, **given)

    def get(self, gen):
        return self.asks[gen.name]


SCENES = {"verdicts": Judging, "change": Changing, "acting": Gate, "narrowing": Narrowed}
ALL = scenarios(Path(__file__).parent / "scenarios_vocabulary")


@pytest.mark.parametrize(
    "kind, lines", [(title.split(":")[0], lines) for title, lines in ALL], ids=[title for title, _ in ALL]
)
def test_scenes(kind, lines):
    scene = SCENES[kind]()
    for number, line in enumerate(lines, 1):
        try:
            scene.line(line)
        except AssertionError as wrong:
            raise AssertionError(f"line {number}, {line!r}: {wrong}") from None


# Vocabularies and profiles, as files.


def tree(words="</s>! a b ab"):
    return json.loads(tokenizer(words.split()))


def test_the_digest_is_of_what_a_file_says():
    raw = tokenizer(["</s>!", "a", "b", "ab"])
    before = catalogue.digest_of(raw, "x")
    other = json.loads(raw) | {"truncation": {"max_length": 5}}
    other["model"] |= {"merges": ["a b"], "vocab": dict(reversed(other["model"]["vocab"].items()))}
    assert (
        catalogue.digest_of(json.dumps(other, indent=3).encode(), "x")
        == before
        == catalogue.vocabulary(raw, "x").digest
    )
    other["model"]["vocab"] |= {"a": 2, "b": 1}
    assert (
        len(
            {
                catalogue.digest_of(json.dumps(other).encode(), "x"),
                catalogue.digest_of(raw, "x", ("</s>",)),
                before,
            }
        )
        == 3
    )


def spoilt(**changed):
    found = tree()
    found["model"] |= changed
    return json.dumps(found)


@pytest.mark.parametrize(
    "text, kind, words",
    [
        ("{", errors.VocabularyMalformed, "JSON"),
        ("[" * 100_000, errors.VocabularyMalformed, "(whole)"),
        ('{"model": 3}', errors.VocabularyMalformed, "model"),
        ('{"model": {"type": "BPE", "vocab": {"a": 0, "a": 1}}}', errors.VocabularyMalformed, "twice"),
        (spoilt(type="Magic"), errors.VocabularyMalformed, "'Magic'; allowed: BPE"),
        (spoilt(vocab=[]), errors.VocabularyMalformed, "found list"),
        (spoilt(vocab={"a": 1, "b": 1}), errors.VocabularyMalformed, "id 1 for two tokens"),
        (
            spoilt(vocab={"a": 0, "b": 1}, merges=[]),
            errors.VocabularyMalformed,
            "added_tokens: found id 0 for two",
        ),
        (spoilt(vocab={"a": 1.5}), errors.VocabularyMalformed, "1.5"),
        (spoilt(vocab={"a": True}), errors.VocabularyMalformed, "True"),
        (
            spoilt(vocab={"a": 1 << 30}, merges=[]),
            errors.VocabularyTooLarge,
            "id 1073741824; allowed: ids up to",
        ),
        (spoilt(vocab={"a" * 5000: 1}, merges=[]), errors.VocabularyTooLarge, "5000 letters"),
        (spoilt(merges=[["a", "zz"]]), errors.VocabularyMalformed, "tokenizers library"),
        (
            json.dumps(tree() | {"added_tokens": [{"id": -1, "content": "x"}]}),
            errors.VocabularyMalformed,
            "added_tokens.0",
        ),
    ],
)
def test_a_file_that_is_wrong_is_rejected_whole(text, kind, words, tmp_path):
    path = tmp_path / "tokenizer.json"
    path.write_text(text)
    with pytest.raises(kind) as wrong:
        catalogue.read_vocabulary(path)
    assert words in str(wrong.value) and str(path) in str(wrong.value) and wrong.value.remedy


def test_files_that_are_missing_or_too_large(tmp_path, monkeypatch):
    with pytest.raises(errors.VocabularyUnreadable):
        catalogue.read_vocabulary(tmp_path / "none")
    with pytest.raises(errors.VocabularyMalformed, match="end: found '<x>'"):
        catalogue.vocabulary(tokenizer(["a"]), "f", ends=("<x>",))
    (tmp_path / "large").write_bytes(b" " * 101)
    monkeypatch.setattr(catalogue.reading, "MOST_BYTES", 100)
    with pytest.raises(errors.VocabularyTooLarge, match="allowed: up to 100"):
        catalogue.read_vocabulary(tmp_path / "large")


def test_other_published_forms():
    """Metaspace with bytes, word pieces and whole words; `old` has the letter a twice, as itself and as a byte."""
    metaspace = Tokenizer(
        models.BPE(
            {"<unk>": 0, "<0x61>": 1, "a": 2, "\u2581a": 3, "\u2581": 4},
            [("\u2581", "a")],
            unk_token="<unk>",
            byte_fallback=True,
        )
    )
    metaspace.pre_tokenizer, metaspace.decoder = (
        pre_tokenizers.Metaspace(),
        decoders.Sequence([decoders.Replace("\u2581", " "), decoders.ByteFallback()]),
    )
    pieces = Tokenizer(models.WordPiece({"[UNK]": 0, "a": 1, "##b": 2}, unk_token="[UNK]"))
    words = Tokenizer(models.WordLevel({"[UNK]": 0, "a": 1}, unk_token="[UNK]"))
    read = [catalogue.vocabulary(one.to_str().encode(), "f") for one in (metaspace, pieces, words)]
    assert [one.pieces[1:] for one in read] == [[b"a", b"a", b" a", b" "], [b" a", b"b"], [b" a"]]
    assert (
        [one.canonical(b" a") for one in read] == [(3,), (1,), (1,)]
        and read[0].canonical(b"a") == (1,)
        and read[1].canonical(b" ab") == (1, 2)
    )
    one = Judge(Pair(read[0], made("new", ["a"])), Ratio(), Profiles(), {}).one(
        "p", Parameters(logit_bias={"1": 5.0, "2": 6.0})
    )
    assert one.word == "contradictory" and "id 1 with bias 5 is the same token now" in str(one)


def test_profiles_say_their_vocabulary_or_take_a_default(tmp_path):
    path = tmp_path / "profiles.json"
    tree = {
        "vocabulary": "one",
        "customers": {"c": "two"},
        "products": {"p": "three"},
        "profiles": {
            "a": {"customer": "c", "parameters": {}},
            "b": {"product": "p", "vocabulary": "one", "parameters": {"top_k": 5}},
            "d": {"product": "q", "parameters": {}},
        },
    }
    path.write_text(json.dumps(tree))
    read = read_profiles(path, ("one", "two", "three"), ("c",), ("p", "q"))
    assert [read.written_for(one) for one in "abd"] == ["two", "one", "one"]
    path.write_text(json.dumps(dict(reversed(tree.items())), indent=2))
    assert read_profiles(path, ("one", "two", "three")).digest() == read.digest()
    path.write_text(json.dumps(tree | {"version": 1}))
    assert read_profiles(path, ("one", "two", "three")).digest() != read.digest()


@pytest.mark.parametrize(
    "changed, words",
    [
        ({"parameters": {"top_p": 2}}, "profiles.a.parameters.top_p"),
        ({"parameters": {"bad": 2}}, "unknown field"),
        ({"parameters": {"logit_bias": {"x": 1.0}}}, "logit_bias.x"),
        ({"parameters": {"min_tokens": 9, "max_tokens": 3}}, "min_tokens: found 9"),
        ({"parameters": {"allowed_token_ids": []}}, "allowed_token_ids"),
        ({"vocabulary": "none"}, "profiles.a.vocabulary: found 'none'; allowed: one"),
        ({"customer": "x"}, "customer or a product"),
        ({"product": "x"}, "profiles.a.product: found 'x'; allowed: p"),
        ({"revenue": -1}, "revenue"),
    ],
)
def test_profiles_that_are_wrong_are_rejected_whole(changed, words, tmp_path):
    path = tmp_path / "profiles.json"
    path.write_text(
        json.dumps({"vocabulary": "one", "profiles": {"a": {"product": "p", "parameters": {}} | changed}})
    )
    with pytest.raises(errors.ProfilesRejected) as wrong:
        read_profiles(path, ("one",), ("c",), ("p",))
    assert words in str(wrong.value) and str(path) in str(wrong.value)


def test_a_retrained_vocabulary_is_judged_without_a_false_exact():
    """Byte-level, trained on two texts: an id that is called exact has the same bytes; what is split is spelt the same."""
    texts = [
        "the ferry to the island leaves at noon, the plane leaves later " * 20,
        "islands and planes: the later ferry is no plane " * 20,
    ]
    read = []
    for number, text in enumerate(texts):
        one = Tokenizer(models.BPE())
        one.pre_tokenizer, one.decoder = (
            pre_tokenizers.ByteLevel(add_prefix_space=False),
            decoders.ByteLevel(),
        )
        one.train_from_iterator(
            [text],
            trainers.BpeTrainer(
                vocab_size=320 + 10 * number,
                special_tokens=["<|end|>"],
                show_progress=False,
                initial_alphabet=pre_tokenizers.ByteLevel.alphabet(),
            ),
        )
        read.append(catalogue.vocabulary(one.to_str().encode(), "f"))
    pair, words = Pair(*read), set()
    for number in range(read[0].size):
        fate = pair.fate(number)
        words.add(fate.word)
        if fate.into:
            assert read[1].text(fate.into) == read[0].pieces[number] and fate.exact is (len(fate.into) == 1)
    assert {"same", "renumbered", "split"} <= words
    assert sum(one.count for one in pair.runs) == sum(there >= 0 for there in pair.table)
    assert all(
        pair.table[one.begin + at] == one.begin + at + one.shift
        for one in pair.runs
        for at in range(one.count)
    )
    assert measured(*read, texts).new != measured(*read, texts).old
    with pytest.raises(errors.SamplesTooFew):
        measured(*read, ["a"])


# The fleet.


def test_random_lives_no_two_gateways_act_by_different_verdicts_of_the_same_digests():
    """Owners of two versions that judge differently, records that are lost before a majority has them, gateways that see
    profiles early or late, calls that come late, twice and in any order."""
    acted, refused = 0, 0
    for seed in range(250):
        chance, record, by, flight, term = random.Random(seed), b"", {}, [], 0
        gateways = [Acting(Known()) for _ in range(4)]
        machine = None
        for _ in range(120):
            profiles = chance.choice(("P1", "P1", "P2"))
            if machine is None or chance.random() < 0.08:
                term, mark = term + 1, chance.choice("xxy")
                machine = Machine(read(record), 0.5)
            change = machine.change
            try:
                what = chance.randrange(8)
                if what == 0:
                    machine.announce(*chance.choice((("A", "B"), ("B", "A"))), profiles)
                elif what == 1:
                    machine.edited(profiles)
                elif what in (2, 3) and change:
                    verdicts = verdicts_on(change.digests, mark)
                    machine.judged(
                        change.digests, Summary(verdicts.digest(), 2, 1, chance.choice((0.2, 0.7)))
                    )
                elif what == 4 and change and change.summary:
                    machine.confirm(change.summary.digest)
                elif what == 5:
                    machine.seen({"A": chance.randrange(3), "B": chance.randrange(3)})
                elif what == 6 and chance.random() < 0.3:
                    machine.call_off("")
            except errors.VerdictDiffers:
                refused += 1
            except errors.VocabularyError:
                pass
            if written(machine.record) != record:
                if chance.random() < 0.1:
                    machine = None  # stepped down before a majority had it
                    continue
                record = written(machine.record)
            if machine.change:
                flight.append(Told(Stamp(term), machine.change, verdicts_on(machine.change.digests, mark)))
            for one in gateways:
                if flight and chance.random() < 0.5:
                    one.known.take(chance.choice(flight[-12:]))
                one.seen = Seen({"A": "a", "B": "b"}, chance.choice(("P1", "P2")))
                verdicts = one.known.acting(one.seen)
                if verdicts is not None:
                    acted += 1
                    assert by.setdefault(verdicts.digests, verdicts.digest()) == verdicts.digest(), seed
    assert acted > 5000 and refused > 50


NOBODY = Stamp()


class Fleet:
    """Three gateways, all voters with files of the made-up world, over the carrier of duties; calls arrive after half a
    millisecond, those of gateways in `cut` never."""

    def __init__(self, world, folder, way=InSteps):
        say = SimpleNamespace(
            **{word: lambda *_, **__: None for word in ("debug", "info", "warning", "error", "exception")}
        )
        addresses = tuple(("127.0.0.1", one + 1) for one in range(3))
        self.world, self.cut, self.logs, self.servers, self.judged, self.tells = world, set(), [], {}, 0, 0
        self.files = Files(str(folder / "vocabularies.json"), str(folder / "profiles.json"))
        self.duties = [
            Duties(
                world,
                say,
                DutiesConfig(
                    "hall",
                    one,
                    addresses,
                    (0, 1, 2),
                    ("vocabulary",),
                    f"votes{one}",
                    0,
                    10_000,
                    0.01,
                    2_000,
                    5_000,
                    64,
                ),
            )
            for one in range(3)
        ]
        self.works = [self.made(number, way) for number in range(3)]
        for number, one in enumerate(self.duties):
            one.peer_calls.send = partial(self.send, number)

    def made(self, number, way=InSteps):
        """A gateway's work that knows nothing."""
        work = VocabularyWork(
            self.world,
            self.duties[number],
            self.files,
            way(self.world),
            lambda: self.servers,
            self.logs.append,
            0.4,
            SECOND,
        )
        judge = work.way.judge

        def counted(task):
            self.judged += 1
            return judge(task)

        work.way.judge = counted
        self.duties[number].add(work)
        return work

    def send(self, sender, number, duty, kind, stamp=NOBODY, body=None, look=lambda: True):
        if not look():
            return None
        self.tells += kind in ("change", "page")
        yield from self.world.sleep(5)
        if sender != number and {sender, number} & self.cut:
            return None
        body = body if isinstance(body, msgspec.Raw) else encode_body(body)
        return (
            yield from self.duties[number].receiver.handle(
                Call(FORMAT_VERSION, "hall", sender, number, duty, kind, stamp, body)
            )
        )

    def owner(self):
        (found,) = (number for number, one in enumerate(self.works) if one.owning is not None)
        return found

    def words(self):
        return [
            (
                one.known.told.change.word if one.known.told else "",
                one.known.acting(one.acting.seen) is not None,
            )
            for one in self.works
        ]

    def play(self, day):
        """`day(group)`, after there is an owner."""

        def body(group):
            for one in self.duties:
                group.spawn(one.run(), "duties")
            yield from self.world.sleep(5 * SECOND)
            yield from day(group)
            group.cancel()

        self.world.run(self.world.group(body))


def laid(folder, stop="</s>", version=0):
    """Two vocabularies whose end differs, and a profile by each."""
    for name, words in (("old", "</s>! _ a b d ab"), ("new", "_ </s>! a b d ab ad")):
        (folder / f"{name}.json").write_bytes(tokenizer(words.split()))
    (folder / "vocabularies.json").write_text(
        json.dumps(
            {
                "vocabularies": {"old": {"file": "old.json"}, "new": {"file": "new.json"}},
                "samples": ["abad " * 99],
            }
        )
    )
    (folder / "profiles.json").write_text(
        json.dumps(
            {
                "version": version,
                "vocabulary": "old",
                "profiles": {
                    "ends": {"product": "p", "parameters": {"stop_token_ids": [0 if stop == "</s>" else 9]}},
                    **{
                        f"p{one}": {"product": "p", "parameters": {"logit_bias": {"1": one / 50}}}
                        for one in range(5)
                    },
                },
            }
        )
    )


def test_owner_and_gateways_through_a_whole_change(tmp_path, monkeypatch):
    """Announced at a gateway that is not the owner, told in pages, one gateway cut off; the owner is cut off; a gateway starts
    anew; the profiles are edited, first to what is held; called off halfway."""
    monkeypatch.setattr(pages, "SIZE", 400)
    laid(tmp_path)
    world = VirtualWorld(1)
    fleet = Fleet(world, tmp_path)

    def day(group):
        first = fleet.owner()
        near, far = (first + 1) % 3, (first + 2) % 3
        fleet.cut.add(far)
        old, new = (fleet.works[near].looked.vocabularies[name] for name in ("old", "new"))
        fleet.servers = {old: 2}
        assert [fleet.works[near].admits(one) for one in (old, new)] == [True, False]
        wrong = yield from fleet.works[near].ask(Asking("announce", "old", "odd"))
        assert "found 'odd'; allowed: new, old" in wrong.word
        assert (yield from fleet.works[near].ask(Asking("announce", "old", "new"))).yes
        yield from world.sleep(3 * SECOND)
        words = fleet.words()
        assert [words[one] for one in (first, near, far)] == [
            ("allowed", True),
            ("allowed", True),
            ("", False),
        ] and fleet.judged == 1
        assert fleet.works[near].known.profiles["ends"].field("stop_token_ids").translated == [1], (
            "the end of text has moved from 0 to 1"
        )
        fleet.cut = {first}
        assert fleet.works[near].admits(new) and not fleet.works[far].admits(new)
        fleet.servers = {old: 1, new: 1}
        yield from world.sleep(6 * SECOND)
        fleet.cut.clear()
        yield from world.sleep(4 * SECOND)
        assert fleet.owner() != first and fleet.words() == [("mixed", True)] * 3 and fleet.judged <= 2, (
            "only by one that had no verdict"
        )
        told = fleet.tells
        yield from world.sleep(10 * SECOND)
        assert fleet.tells == told, "who knows it is not told again"
        fleet.works[first] = fleet.made(first)
        group.spawn(fleet.works[first].serve(), "serve")
        yield from world.sleep(3 * SECOND)
        assert fleet.words() == [("mixed", True)] * 3, "one that starts anew asks"
        laid(tmp_path, stop="gone")
        yield from world.sleep(4 * SECOND)
        assert fleet.words() == [("mixed", True)] * 3, "one profile of six is under the limit"
        laid(tmp_path, stop="gone", version=1)
        (tmp_path / "profiles.json").write_text(
            (tmp_path / "profiles.json").read_text().replace('"1": 0.', '"9": 0.')
        )
        yield from world.sleep(4 * SECOND)
        assert fleet.words() == [("held", False)] * 3
        stands = fleet.works[0].known.told.change.summary.digest
        assert "allowed: " + stands in (yield from fleet.works[0].ask(Asking("confirm", verdict="x"))).word
        assert (yield from fleet.works[0].ask(Asking("confirm", verdict=stands))).yes
        yield from world.sleep(2 * SECOND)
        assert fleet.words() == [("mixed", True)] * 3
        assert (yield from fleet.works[1].ask(Asking("call off", why="complaints"))).yes
        yield from world.sleep(2 * SECOND)
        assert fleet.words() == [("called off", False)] * 3 and [
            fleet.works[0].admits(one) for one in (old, new)
        ] == [True, False]
        (tmp_path / "profiles.json").write_text("{")
        yield from world.sleep(2 * SECOND)
        assert any("the last good files hold" in line for line in fleet.logs)

    fleet.play(day)


@pytest.mark.parametrize("seed", range(4))
def test_an_owner_cut_off_is_followed_by_one_that_knows_the_change(seed, tmp_path):
    laid(tmp_path)
    world = VirtualWorld(seed)
    fleet = Fleet(world, tmp_path)

    def day(group):
        first = fleet.owner()
        for _ in range(7):
            begun = world.now()
            assert (yield from fleet.works[first - 1].ask(Asking("announce", "old", "new"))).yes
            assert world.now() - begun < 400, "40 ms, for the call that carries it waits 200 ms"
            yield from world.sleep(1300)
        yield from world.sleep(3 * SECOND)
        assert fleet.words() == [("allowed", True)] * 3
        fleet.cut.add(first)
        yield from world.sleep(5 * SECOND)
        second = fleet.owner()
        assert second != first and (yield from fleet.works[second].ask(Asking("call off"))).yes
        yield from world.sleep(2 * SECOND)
        assert [fleet.words()[one] for one in range(3) if one != first] == [("called off", False)] * 2
        assert fleet.words()[first] == ("allowed", True), "it has not heard; ids go only where they are exact"
        fleet.cut.clear()
        yield from world.sleep(3 * SECOND)
        assert fleet.words() == [("called off", False)] * 3 and fleet.owner() == second

    fleet.play(day)


def test_what_a_request_is_written_for_and_what_its_profile_gives():
    parameters = {"p1": {"stop_token_ids": [4], "top_k": 5, "max_tokens_bounds": {"least": 1, "most": 9}}}
    written = Written(
        Looked(
            vocabularies={"one": "A", "two": "B"},
            written_for={"p1": "two"},
            customers={"c": "one"},
            parameters=parameters,
        )
    )

    def read(customer="c", **fields):
        body = {name: msgspec.Raw(json.dumps(value).encode()) for name, value in fields.items()}
        found = written.read(body, customer, "p")
        return (
            found.vocabulary,
            sorted(found.filled),
            {name: json.loads(bytes(value)) for name, value in body.items()},
        )

    assert read(model="x") == (None, [], {"model": "x"})
    assert read(stop_token_ids=[1])[0] == "A" and read(stop_token_ids=[1], token_vocabulary="two") == (
        "B",
        [],
        {"stop_token_ids": [1]},
    )
    assert read("other", stop_token_ids=[1])[0] is None
    assert read(sampling_profile="p1", top_k=9) == (
        "B",
        ["max_tokens_bounds", "stop_token_ids"],
        {"top_k": 9, "stop_token_ids": [4]},
    )
    assert read(sampling_profile="p1", stop_token_ids=[1])[0] == "A"
    with pytest.raises(
        errors.ParametersMalformed, match="max_tokens: found 10; allowed: 1 to 9 by profile 'p1'"
    ):
        read(sampling_profile="p1", max_tokens=10)
    assert written.read(
        {"max_tokens": msgspec.Raw(b"7"), "stop_token_ids": msgspec.Raw(b"[1]")}, "c", "p"
    ).limits == {"max_tokens": 7}
    for wrong in (
        {"sampling_profile": "p2"},
        {"token_vocabulary": "three", "stop_token_ids": [1]},
        {"sampling_profile": 7},
    ):
        with pytest.raises(errors.VocabularyUnknown):
            read(**wrong)


class Slow(InSteps):
    """Judging that takes two seconds after the files were read."""

    def judge(self, task):
        found = yield from super().judge(task)
        yield from self.world.sleep(2 * SECOND)
        return found


def test_a_profile_edited_and_a_change_called_off_while_it_is_judged(tmp_path):
    laid(tmp_path)
    world, acted = VirtualWorld(1), set()
    fleet = Fleet(world, tmp_path, Slow)

    def watch():
        while True:
            acted.update(
                verdicts.digests.profiles
                for one in fleet.works
                if (verdicts := one.known.acting(one.acting.seen)) is not None
            )
            yield from world.sleep(100)

    def day(group):
        group.spawn(watch(), "watch")
        first = fleet.works[0].looked.profiles
        assert (yield from fleet.works[2].ask(Asking("announce", "old", "new"))).yes
        yield from world.sleep(SECOND)
        laid(tmp_path, version=1)
        yield from world.sleep(7 * SECOND)
        second = fleet.works[0].looked.profiles
        assert fleet.words() == [("allowed", True)] * 3 and acted == {second} != {first} and fleet.judged == 2
        laid(tmp_path, version=2)
        yield from world.sleep(2 * SECOND)
        assert (yield from fleet.works[2].ask(Asking("call off"))).yes, (
            "not held up by the judging that goes on"
        )
        yield from world.sleep(5 * SECOND)
        assert fleet.words() == [("called off", False)] * 3 and acted == {second}

    fleet.play(day)


def test_judging_in_a_process_of_its_own_says_the_same(tmp_path):
    laid(tmp_path)
    files = Files(str(tmp_path / "vocabularies.json"), str(tmp_path / "profiles.json"))

    def both():
        found = []
        for way in (InSteps(world), InChild(world)):
            found += [
                (yield from way.look(files)),
                (yield from way.judge(Task(files, "old", "new"))),
                (yield from way.judge(Task(files, "old", "odd"))),
            ]
        late = yield from InChild(world, 10).judge(Task(files, "old", "new"))
        return found, late

    world = RealWorld()
    found, late = world.run(both())
    assert (
        found[:3] == found[3:]
        and found[0].vocabularies
        and found[1].summary.lost == 0
        and "odd" in found[2].problem
    )
    assert late.problem and not late.verdicts


def test_pages_come_in_any_order_and_count_only_if_they_fit_their_digest(monkeypatch):
    monkeypatch.setattr(pages, "SIZE", 100)
    verdicts, stamp = verdicts_on(Digests("A", "B", "P1")), Stamp(1)
    cut, put = pages.paged(verdicts.encoded(), verdicts.digest()), pages.Pages()
    assert len(cut) > 3
    for page in [cut[1], *cut[2:], cut[1]]:
        assert put.add(stamp, page) is None
    assert put.add(stamp, cut[0]) == verdicts
    other = msgspec.structs.replace(cut[0], part=cut[0].part.replace(b"A", b"C"))
    assert [put.add(stamp, page) for page in (other, *cut[1:])] == [None] * len(cut) and not put.parts
    assert [put.add(Stamp(2 + (page is cut[0])), page) for page in cut] == [None] * len(cut), "of two owners"
    monkeypatch.setattr(pages, "MOST", 300)
    with pytest.raises(errors.VerdictsTooLarge):
        pages.paged(verdicts.encoded(), verdicts.digest())


@pytest.mark.parametrize(
    "kind, body, stamp",
    [
        ("change", {"change": {}}, Stamp(1)),
        ("page", {"digest": "x", "number": 3, "of": 2, "part": ""}, Stamp(1)),
        ("change", None, Stamp()),
        ("odd", None, Stamp(1)),
        ("asking", {"kind": 3}, Stamp()),
    ],
)
def test_calls_that_are_malformed_are_told_from_others(kind, body, stamp, tmp_path):
    work = Fleet(VirtualWorld(1), tmp_path).works[0]
    work.pending = Told(Stamp(1), Change(1, "allowed", "A", "B", "P", Summary("x", 1, 0, 0.0)))
    with pytest.raises(msgspec.ValidationError):
        work.world.run(work.handle_call(1, kind, stamp, encode_body(body)))


@pytest.mark.parametrize("value", [b"x", b"vocabulary 1\n{", b"vocabulary 1\n[]", b"vocabulary 2\n{}"])
def test_a_record_that_cant_be_read_stops_the_owner(value):
    with pytest.raises(errors.RecordMalformed):
        read(value)
