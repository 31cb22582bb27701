"""Owner, receivers, neighbours and origin together, on the made-up network: what comes into place and what does not."""

import errno
import os
import random

import msgspec
import pytest
from weights_stage import Stage, bytes_of, model

from stackpitch.duties.calls import Stamp, encode_body
from stackpitch.duties.weights import errors, forms
from stackpitch.duties.weights.lastgood import LastGood
from stackpitch.duties.weights.placing.disk import RealDisk
from stackpitch.duties.weights.wanted import checked
from stackpitch.loop import SECOND, RealFiles

DATA, OTHER = bytes_of(1), bytes_of(2)
RATE = 1_000_000


def tree(regions=1, **models):
    """Two sites behind each shared link, with two gateways each: 0 and 1 are at s0, 2 and 3 at s1."""
    names = [f"s{number}" for number in range(2 * regions)]
    return {
        "version": 1,
        "models": models,
        "links": {
            f"u{number}": {"bytes_per_s": RATE, "sites": names[2 * number : 2 * number + 2]}
            for number in range(regions)
        },
        "sites": {
            name: {"bytes_per_s": 4 * RATE, "gateways": [2 * number, 2 * number + 1]}
            for number, name in enumerate(names)
        },
    }


def played(folder, tree, files, script, seed=1):
    stage = Stage(folder, tree, files, seed)
    stage.run(script)
    return stage


def within(served, rate):
    """Bytes in any second: at most the rate's, what the bucket holds, and one that was held back before the second."""
    total, first = 0, 0
    for one in served:
        total += one.size
        while served[first].at <= one.at - SECOND:
            total -= served[first].size
            first += 1
        assert total <= 1.2 * rate, (one.at, total)


def test_weights_come_into_place_once_over_the_shared_link(tmp_path):
    def script(stage):
        begun = stage.world.now()
        stage.own(3)
        yield from stage.until(lambda: stage.nodes[0].engines.told and stage.nodes[2].engines.told)
        assert stage.world.now() - begun < 2.2 * SECOND
        assert stage.placed(0, "m") == stage.placed(2, "m") == DATA
        assert sum(one.size for one in stage.origin.served) <= 1.1 * len(DATA), (
            "neighbours give each other what they have"
        )
        assert stage.served and all(path == "/weights/m/1" for _, path, _ in stage.served)
        within(stage.origin.served, RATE)

    played(tmp_path, tree(m=model(DATA, ["s0", "s1"])), {"/m": DATA}, script)


def test_a_version_of_another_vocabulary_is_released_once_the_change_to_it_is_allowed(tmp_path):
    def script(stage):
        stage.own(3)
        yield from stage.until(lambda: stage.nodes[0].engines.told and stage.placed(2, "m") == DATA)
        yield from stage.world.sleep(5 * SECOND)
        assert ("m", "1") not in stage.nodes[0].engines.told + stage.nodes[2].engines.told
        stage.admitted.add("f" * 32)
        yield from stage.until(
            lambda: ("m", "1") in stage.nodes[0].engines.told and ("m", "1") in stage.nodes[2].engines.told
        )

    new = model(DATA, ["s0", "s1"]) | {"vocabulary": "f" * 32}
    played(
        tmp_path, tree(m=new, plain=model(OTHER, ["s0"], name="plain")), {"/m": DATA, "/plain": OTHER}, script
    )


def test_the_same_on_sockets_and_this_machines_disk(tmp_path):
    def script(stage):
        stage.own(3)
        yield from stage.until(lambda: stage.nodes[0].engines.told and stage.nodes[2].engines.told)
        assert stage.placed(0, "m") == stage.placed(2, "m") == DATA and stage.served
        assert sum(one.size for one in stage.origin.served) <= 1.1 * len(DATA)
        within(stage.origin.served, 4 * RATE)

    quick = tree(m=model(DATA, ["s0", "s1"]))
    quick["links"]["u0"]["bytes_per_s"] = quick["sites"]["s0"]["bytes_per_s"] = 4 * RATE
    Stage(tmp_path, quick, {"/m": DATA}, real=True).run(script)


def test_an_urgent_model_comes_as_the_last_piece_of_a_large_low_one_is_under_way(tmp_path):
    def script(stage):
        stage.own(1)
        entries = stage.nodes[0].work.receiver.entries
        yield from stage.until(lambda: entries and entries["large", "1"].pieces.have.bit_count() == 1)
        stage.tree["models"]["urgent"] = model(OTHER, ["s0"], 0, name="urgent", piece=50_000)
        stage.write()
        seen = stage.world.now()
        yield from stage.until(lambda: stage.nodes[0].engines.told)
        assert stage.placed(0, "urgent") == OTHER and stage.placed(0, "large") is None, stage.nodes[0].log
        assert stage.world.now() - seen < (10 + 2 + 1) * SECOND, "its bytes, the look at the file, one grant"
        yield from stage.until(lambda: stage.placed(0, "large"))
        within(stage.origin.served, RATE // 10)

    large = tree(large=model(DATA, ["s0"], 3, name="large", piece=500_000))
    large["links"]["u0"]["bytes_per_s"] = RATE // 10
    played(tmp_path, large, {"/large": DATA, "/urgent": OTHER}, script)


@pytest.mark.parametrize("when", ["rename", "half"])
def test_a_receiver_killed_between_rename_and_report_or_halfway(tmp_path, when):
    def script(stage):
        node, fetched = stage.nodes[0], lambda: sum(one.size for one in stage.origin.served)
        rename = node.disk.rename

        def cut(old, new):
            rename(old, new)
            node.disk.cut = 0 if "/placed/" in new else None

        if when == "rename":
            node.disk.rename = cut
        stage.own(3)
        yield from stage.until(lambda: node.disk.cut == 0 or (when == "half" and fetched() > len(DATA) // 2))
        yield from stage.world.sleep(SECOND // 100)
        node.kill()
        node.disk.rename, node.disk.cut = rename, None
        assert not node.engines.told and (stage.placed(0, "m") == DATA) is (when == "rename")
        stage.nodes[1].deaf = True  # the other gateway of the site has no part in this
        node.start()
        yield from stage.until(lambda: node.engines.told)
        assert stage.placed(0, "m") == DATA
        assert fetched() <= len(DATA) + (0 if when == "rename" else 2 * 100_000), "what was checked is kept"

    played(tmp_path, tree(m=model(DATA, ["s0"])), {"/m": DATA}, script)


def test_another_gateway_of_the_site_takes_over(tmp_path):
    def script(stage):
        stage.own(3)
        yield from stage.until(lambda: stage.origin.served)
        stage.nodes[0].kill()
        yield from stage.until(lambda: stage.nodes[1].engines.told)
        assert stage.placed(1, "m") == DATA
        within(stage.origin.served, RATE)

    played(tmp_path, tree(m=model(DATA, ["s0"])), {"/m": DATA}, script)


def test_a_gateway_that_takes_over_looks_at_what_the_one_before_has_done_on_their_disk(tmp_path):
    """It has known the version since before anything of it was fetched."""
    wanted = tree(m=model(DATA, ["s0"]))
    stage, manifest = Stage(tmp_path, wanted, {"/m": DATA}), wanted["models"]["m"]["manifest"]
    stage.nodes[1].disk = stage.nodes[0].disk
    place = forms.Place("m", "1", len(DATA), manifest["piece"], manifest["whole"], tuple(manifest["pieces"]))

    def script(stage):
        tenure = stage.own(3)
        answer = yield from stage.nodes[1].work.handle_call(3, "place", tenure.stamp, encode_body(place))
        assert answer.yes
        yield from stage.until(lambda: stage.nodes[0].engines.told)
        yield from stage.world.sleep(6 * SECOND)
        before = len(stage.origin.served)
        assert stage.nodes[1].work.receiver.report().have[0].pieces == ""
        stage.nodes[0].child.signal(9)
        stage.nodes[0].work = None
        copy = (
            stage.nodes[1].work.receiver.entries["m", "1"].copy
        )  # the site was at rest: it is asked each half minute
        yield from stage.until(lambda: stage.nodes[1].engines.told and copy.placed, 90 * SECOND)
        assert len(stage.origin.served) == before and stage.nodes[1].work.receiver.report().have[0].placed
        assert stage.nodes[1].disk.list_folder("weights/m/partial") == []

    stage.run(script)


def test_a_gateway_that_knows_an_older_release_leaves_the_new_one_of_its_neighbour_on_the_disk(tmp_path):
    wanted = tree(m=model(DATA, ["s0"]))
    stage, manifest = Stage(tmp_path, wanted, {"/m": DATA, "/n": OTHER}), wanted["models"]["m"]["manifest"]
    stage.nodes[1].disk = stage.nodes[0].disk
    place = forms.Place("m", "1", len(DATA), manifest["piece"], manifest["whole"], tuple(manifest["pieces"]))

    def script(stage):
        tenure = stage.own(3)
        assert (yield from stage.nodes[1].work.handle_call(3, "place", tenure.stamp, encode_body(place))).yes
        yield from stage.until(lambda: ("m", "1") in stage.nodes[0].engines.told)
        yield from stage.world.sleep(6 * SECOND)  # it has seen the release of version 1
        stage.tree["models"]["m"] = model(OTHER, ["s0"], version="2", name="n")
        stage.write()
        yield from stage.until(lambda: ("m", "2") in stage.nodes[0].engines.told)
        yield from stage.world.sleep(12 * SECOND)
        assert stage.placed(0, "m", "2") == OTHER and stage.placed(0, "m", "1") is None

    stage.run(script)


def test_the_origins_file_changes_under_the_same_name(tmp_path):
    """Its pieces are thrown away, and after two of them a neighbour is asked, though that is further away."""

    def script(stage):
        stage.own(3)
        yield from stage.until(lambda: stage.placed(0, "m"))
        stage.origin.files["/m"] = OTHER
        stage.tree["models"]["m"]["sites"].append("s2")
        stage.write()
        yield from stage.until(lambda: stage.nodes[4].engines.told)
        assert stage.placed(4, "m") == DATA
        said = stage.nodes[4].words("weights_source_spoilt")
        assert len(said) == 1 and said[0]["remedy"] == errors.SourceSpoilt.remedy
        assert len(stage.nodes[4].words("weights_bad_piece")) == 2

    played(tmp_path, tree(2, m=model(DATA, ["s0"])), {"/m": DATA}, script)


@pytest.mark.parametrize(
    "change,word",
    [
        ({"files": {"/m": DATA + b"x"}}, "weights_source_changed"),
        ({"refuse": 503}, "weights_source_failed"),
        ({"files": {}}, "weights_source_failed"),
    ],
)
def test_an_origin_that_gives_something_else_is_named_and_tried_again(tmp_path, change, word):
    def script(stage):
        for name, value in change.items():
            setattr(stage.origin, name, value)
        stage.own(3)
        yield from stage.until(lambda: stage.nodes[0].words(word))
        assert "origin at 127.0.0.1:8000" in stage.nodes[0].words(word)[0]["why"]
        stage.origin.files, stage.origin.refuse = {"/m": DATA}, 0
        yield from stage.until(lambda: stage.nodes[0].engines.told, 90 * SECOND)
        assert len(stage.nodes[0].words(word)) < 8, "it is not asked on and on"

    played(tmp_path, tree(m=model(DATA, ["s0"])), {}, script)


def test_corrupt_and_broken_answers_do_not_hold_it_up_nor_get_into_place(tmp_path):
    def script(stage):
        stage.origin.spoil, stage.origin.breaks = 40, 60
        stage.own(3)
        yield from stage.until(lambda: stage.placed(0, "m") and stage.placed(2, "m"), 300 * SECOND)
        assert stage.placed(0, "m") == stage.placed(2, "m") == DATA
        assert any(one.spoilt for one in stage.origin.served)
        within(stage.origin.served, RATE)

    for seed in range(4):
        played(tmp_path, tree(m=model(DATA, ["s0", "s1"])), {"/m": DATA}, script, seed)


@pytest.mark.parametrize(
    "trouble,word",
    [
        (("room", 500_000), "weights_disk_full"),
        (("fail", errno.EROFS), "weights_disk_read_only"),
        (("fail", errno.EIO), "weights_disk_corrupt"),
    ],
)
def test_a_site_with_trouble_on_its_disk_waits_and_others_go_on(tmp_path, trouble, word):
    def script(stage):
        disk = stage.nodes[0].disk
        setattr(disk, *trouble)
        stage.nodes[1].deaf = True
        stage.own(3)
        yield from stage.until(lambda: stage.nodes[2].engines.told)
        assert stage.nodes[0].words(word)[0]["remedy"] and stage.placed(0, "m") is None
        disk.room, disk.fail = None, 0
        yield from stage.until(lambda: stage.nodes[0].engines.told)
        assert stage.placed(0, "m") == stage.placed(2, "m") == DATA

    played(tmp_path, tree(m=model(DATA, ["s0", "s1"])), {"/m": DATA}, script)


def test_the_version_before_stays_until_the_new_one_is_released_and_nobody_uses_it(tmp_path):
    def script(stage):
        node = stage.nodes[0]
        stage.own(3)
        yield from stage.until(lambda: node.engines.told == [("m", "1")])
        node.engines.using = {("m", "1")}
        stage.tree["models"]["m"] = model(OTHER, ["s0"], version="2")
        stage.origin.files = {"/m": OTHER}
        stage.write()
        yield from stage.until(lambda: stage.placed(0, "m", "2"))
        yield from stage.until(lambda: node.engines.told == [("m", "1"), ("m", "2")])
        yield from stage.world.sleep(12 * SECOND)
        assert stage.placed(0, "m", "1") == DATA
        node.engines.using = {("m", "2")}
        yield from stage.until(lambda: stage.placed(0, "m", "1") is None)
        node.kill()
        calls = node.engines.calls
        node.start()
        yield from stage.world.sleep(45 * SECOND)
        assert stage.placed(0, "m", "2") == OTHER, "a restart takes nothing away"
        assert node.engines.calls > calls, "engines that were away are told again"
        del stage.tree["models"]["m"]
        stage.write()
        yield from stage.world.sleep(20 * SECOND)
        assert stage.placed(0, "m", "2") == OTHER, "withdrawn, and still used"
        node.engines.using = set()
        yield from stage.until(lambda: stage.placed(0, "m", "2") is None, 60 * SECOND)

    played(tmp_path, tree(m=model(DATA, ["s0"])), {"/m": DATA}, script)


def test_a_withdrawn_version_stops_within_one_grant(tmp_path):
    def script(stage):
        stage.own(3)
        yield from stage.until(lambda: stage.origin.served)
        del stage.tree["models"]["m"]
        stage.write()
        yield from stage.world.sleep(4 * SECOND)  # 2 until the file is looked at, 1 for what was granted
        count = len(stage.origin.served)
        yield from stage.world.sleep(10 * SECOND)
        assert len(stage.origin.served) == count
        assert stage.placed(0, "m") is None and not stage.nodes[0].disk.list_folder("weights/m/partial")

    played(tmp_path, tree(m=model(bytes_of(3, 20_000_000), ["s0"])), {"/m": bytes_of(3, 20_000_000)}, script)


def test_an_owner_stopped_between_its_look_and_its_send(tmp_path):
    """Woken after its successor has begun: its grants and its release are turned down, and it steps down."""

    def script(stage):
        first = stage.own(1)
        yield from stage.until(lambda: len(stage.origin.served) > 5)
        first.paused = True
        yield from stage.world.sleep(SECOND)  # what it plans now waits
        stage.own(3)
        yield from stage.until(lambda: stage.nodes[0].work.receiver.grants.stamp.term == 2)
        held = dict(stage.nodes[0].work.receiver.grants.held)
        first.paused = False
        yield from stage.until(lambda: "stepped down" in first.words, 2 * SECOND)
        assert ("grant", "older term") in first.words
        assert (
            all(one.stamp.term == 2 for one in stage.nodes[0].work.receiver.grants.held.values())
            and held is not None
        )
        yield from stage.until(lambda: stage.nodes[0].engines.told)
        assert stage.placed(0, "m") == DATA
        release = encode_body(forms.Release("m", "1", 99))
        answer = yield from stage.nodes[0].work.handle_call(1, "service", Stamp(1, 1), release)
        assert answer.word == "older" and answer.stamp.term == 2
        stage.nodes[0].kill()
        stage.nodes[0].start()
        yield from stage.world.sleep(SECOND)
        answer = yield from stage.nodes[0].work.handle_call(1, "service", Stamp(1, 1), release)
        assert answer.word == "older", "also after a restart"
        within(stage.origin.served, RATE)

    played(tmp_path, tree(m=model(DATA, ["s0"])), {"/m": DATA}, script)


def test_a_wanted_file_that_is_wrong_is_said_and_the_last_good_one_stays(tmp_path):
    def script(stage):
        stage.own(3)
        yield from stage.until(lambda: stage.nodes[0].engines.told)
        stage.tree["models"]["m"]["manifest"] = model(OTHER, [])["manifest"]
        stage.write()
        yield from stage.until(lambda: stage.nodes[3].words("weights_wanted_rejected"))
        said = stage.nodes[3].words("weights_wanted_rejected")[0]
        assert "models.m.manifest: found another one for version 1" in said["why"] and said["remedy"]
        assert (
            stage.nodes[3].work.file.current.models["m"].manifest.whole
            == model(DATA, [])["manifest"]["whole"]
        )
        stage.nodes[0].kill()  # and a gateway that knew only the other one is not mixed up
        stage.nodes[0].start()
        yield from stage.world.sleep(5 * SECOND)
        assert stage.placed(0, "m") == DATA

    played(tmp_path, tree(m=model(DATA, ["s0"])), {"/m": DATA}, script)


def test_calls_that_are_malformed_are_dropped_and_others_answered(tmp_path):
    def script(stage):
        work = stage.nodes[0].work
        for kind, body in [
            ("place", {"model": "../x"}),
            ("place", {"model": "m", "version": ".."}),
            ("grant", 7),
            ("begin", {}),
            ("service", {"model": "m", "version": "a/b"}),
            ("service", {"model": "m\n", "version": ""}),
            ("report", []),
        ]:
            if kind == "report":
                stage.own(0)
                yield from stage.until(lambda: work.owner is not None)
            with pytest.raises(msgspec.ValidationError):
                yield from work.handle_call(3, kind, Stamp(9 if kind != "report" else 0), encode_body(body))
        good = {
            "lane": {"site": "s0", "gateway": 0, "start": 1, "source": "origin"},
            "serial": 1,
            "mark": {"start": 1, "at": 1},
            "age": 0,
            "lasts": 10,
            "rate": 10,
            "address": "127.0.0.1:9",
            "path": "/m",
        }
        for change in (
            {"path": "/m HTTP/1.1\r\nx: y"},
            {"path": "/m\n"},
            {"address": "host:80"},
            {"rate": -1},
            {"lasts": 10**6},
            {"serial": 0},
            {"pieces": [1] * 65},
            {"age": 10**6},
        ):
            with pytest.raises(msgspec.ValidationError):
                yield from work.handle_call(3, "grant", Stamp(9), encode_body(good | change))
        assert (yield from work.handle_call(3, "grant", Stamp(9), encode_body(good))).word == "not known"
        place = {"model": "m", "version": "9", "size": 5000, "piece": 1024, "whole": "0" * 64, "pieces": []}
        assert (yield from work.handle_call(3, "place", Stamp(9), encode_body(place))).word == "malformed"
        assert (yield from work.handle_call(3, "grant", Stamp(), encode_body({}))).word == "a term is needed"
        assert (yield from work.handle_call(3, "what", Stamp(9), encode_body({}))).word == "not known"

    played(tmp_path, tree(m=model(DATA, ["s0"])), {"/m": DATA}, script)


def test_an_idle_fleet_is_nearly_silent_and_what_is_lost_is_noticed(tmp_path):
    def script(stage):
        stage.own(3)
        yield from stage.until(lambda: stage.nodes[0].engines.told and stage.nodes[2].engines.told)
        yield from stage.world.sleep(10 * SECOND)
        calls = stage.calls
        yield from stage.world.sleep(300 * SECOND)
        assert 15 <= stage.calls - calls <= 25, "two sites, each asked every half minute"
        stage.nodes[0].disk.remove("weights/m/placed/1")
        stage.nodes[0].kill()
        stage.nodes[0].start()
        stage.nodes[0].engines.told.clear()
        count = len(stage.origin.served)
        yield from stage.until(lambda: stage.nodes[0].engines.told, 60 * SECOND)
        assert stage.placed(0, "m") == DATA and len(stage.origin.served) == count, (
            "from its neighbour, though that was at rest"
        )
        for node in (stage.nodes[0], stage.nodes[1]):
            node.kill()
        yield from stage.world.sleep(100 * SECOND)
        calls = stage.calls
        yield from stage.world.sleep(300 * SECOND)
        assert stage.calls - calls <= 110, (
            "a site that is gone is asked every eight seconds, and keeps nobody from rest"
        )

    played(tmp_path, tree(m=model(DATA, ["s0", "s1"])), {"/m": DATA}, script)


def test_an_owner_without_a_good_file_leaves_the_duty(tmp_path):
    def script(stage):
        (tmp_path / "wanted.json").write_text("{")
        stage.nodes[3].kill()
        assert stage.world.disk.names.pop(os.path.abspath("weights/.wanted.3")), "nor has it kept one"
        stage.nodes[3].start()
        yield from stage.world.sleep(SECOND)
        tenure = stage.own(3)
        yield from stage.until(lambda: tenure.words == ["no_wanted"], 5 * SECOND)
        stage.own(1)  # which has seen the good one
        yield from stage.until(lambda: stage.nodes[0].engines.told)
        assert stage.placed(0, "m") == DATA

    played(tmp_path, tree(m=model(DATA, ["s0"])), {"/m": DATA}, script)


@pytest.mark.parametrize("wrong", ["{", None])
def test_a_start_while_the_wanted_file_is_wrong_goes_on_with_the_last_good_one(tmp_path, wrong):
    def script(stage):
        yield from stage.until(lambda: stage.nodes[3].work.file.current)
        stage.nodes[3].kill()
        (tmp_path / "wanted.json").unlink()
        if wrong is not None:
            (tmp_path / "wanted.json").write_text(wrong)
        stage.nodes[3].start()
        yield from stage.world.sleep(SECOND)
        assert stage.nodes[3].words("weights_wanted_rejected")[-1]["in_force"] == stage.tree["version"]
        stage.own(3)
        yield from stage.until(lambda: stage.nodes[0].engines.told)
        assert stage.placed(0, "m") == DATA
        stage.tree["models"]["m"]["manifest"] = model(OTHER, [])["manifest"]
        stage.nodes[3].kill()
        stage.write()
        stage.nodes[3].start()
        again = "found another one for version 1"
        yield from stage.until(lambda: again in stage.nodes[3].words("weights_wanted_rejected")[-1]["why"])

    played(tmp_path, tree(m=model(DATA, ["s0"])), {"/m": DATA}, script)


def test_a_wanted_file_that_cannot_be_kept_is_said_and_in_force_all_the_same(tmp_path):
    """Once the folder can be written it is kept, without another word from operators."""
    wanted, blocked = (
        checked(tree(m=model(DATA, ["s0"]) | {"origin": "127.0.0.1:9"}), "wanted"),
        tmp_path / "weights",
    )
    blocked.write_text("a file where the folder should be")
    kept = LastGood(RealFiles(), RealDisk(), str(blocked / ".wanted.0"))
    assert kept.load() is None
    kept.save(wanted)
    assert kept.trouble and kept.again
    blocked.unlink()
    kept.save(wanted)
    assert not kept.trouble and LastGood(RealFiles(), RealDisk(), str(blocked / ".wanted.0")).load() == wanted
    for version in range(20):
        kept.save(wanted.model_copy(update={"version": version}))
    assert (blocked / ".wanted.0").stat().st_size < 5 * len(wanted.model_dump_json()), (
        "written anew, and not for ever longer"
    )


def test_random_lives_end_with_all_in_place_and_the_link_never_over(tmp_path):
    """Processes killed and started anew, deaf ones, owners that change while the old one still sends, an origin that spoils,
    breaks off and refuses, disks that fill up, versions replaced: then a calm time, in which all must come right."""

    def script(stage, chance):
        contents, killed = {"a": bytes_of(7, 900_000), "b": bytes_of(8, 400_000)}, 0
        stage.own(3)
        for turn in range(14):
            yield from stage.world.sleep(chance.randrange(200, 9_000))
            node = stage.nodes[chance.randrange(4)]
            match chance.randrange(8):
                case 0 if node.number != stage.owner_number:
                    node.kill()
                    killed += 1
                    yield from stage.world.sleep(chance.randrange(5_000))
                    node.start()
                case 1:
                    node.deaf = not node.deaf
                case 2:
                    stage.tenures[-1].paused = chance.random() < 0.5
                    stage.own(
                        chance.choice([number for number in stage.nodes if number != stage.owner_number])
                    )
                    for old in stage.tenures[:-1]:
                        old.paused = old.paused and chance.random() < 0.5
                case 3:
                    stage.origin.spoil, stage.origin.breaks = chance.choice((0, 100)), chance.choice((0, 100))
                case 4:
                    stage.origin.refuse = chance.choice((0, 0, 503))
                case 5:
                    node.disk.room = chance.choice((None, 300_000))
                case 6:
                    node.disk.fail = chance.choice((0, errno.EROFS, errno.EIO))
                case 7:
                    name, version = chance.choice("ab"), str(turn + 2)
                    contents[name] = bytes_of(turn, chance.choice((50_000, 600_000)))
                    stage.origin.files[f"/{name}{version}"] = contents[name]
                    stage.tree["models"][name] = model(
                        contents[name], ["s0", "s1"], chance.randrange(3), version, name + version, 37_000
                    )
                    stage.write()
            for number, name in ((number, name) for number in stage.nodes for name in contents):
                for version in stage.nodes[number].disk.list_folder(f"weights/{name}/placed"):
                    found = stage.placed(number, name, version)
                    assert found == stage.origin.files.get(f"/{name}{version}", found), (
                        "whole and right, or not there"
                    )
        stage.origin.spoil = stage.origin.breaks = stage.origin.refuse = 0
        for node in stage.nodes.values():
            node.deaf, node.disk.room, node.disk.fail = False, None, 0
        for old in stage.tenures:
            old.paused = False

        def right():
            versions = {name: one["version"] for name, one in stage.tree["models"].items()}
            return all(
                any(
                    stage.placed(number, name, versions[name]) == contents[name]
                    and (name, versions[name]) in stage.nodes[number].engines.told
                    for number in site
                )
                for site in ((0, 1), (2, 3))
                for name in versions
            )

        yield from stage.until(right, 150 * SECOND)
        within(stage.origin.served, RATE // 4)

    for seed in range(12):
        chance = random.Random(seed)
        files = {"/a1": bytes_of(7, 900_000), "/b1": bytes_of(8, 400_000)}
        wanted = tree(
            a=model(files["/a1"], ["s0", "s1"], 1, "1", "a1"),
            b=model(files["/b1"], ["s0", "s1"], 0, "1", "b1"),
        )
        wanted["links"]["u0"]["bytes_per_s"] = RATE // 4
        played(tmp_path, wanted, files, lambda stage, chance=chance: script(stage, chance), seed)
