"""A request with token ids that is on its way while servers of another vocabulary come into service."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from engines import Engine, Serving
from standins import CannotRun, Stage, answer, chunk, main, read_head, read_request

from stackpitch.duties.vocabulary.catalogue import digest_of  # as operators take it for the fleet's file

WORDS = ["wine", "perfume", "gate", "order", "counter", "chocolate"]
BANNED = {"2": -100}  # the id of "wine" in base-1; in base-2 it is that of "chocolate"
TURNED_AWAY_AFTER = 0.8  # seconds in its first reader's queue


def tokenizer(words: list[str]) -> bytes:
    end = {"id": 0, "content": "</s>", "special": True, "single_word": False, "lstrip": False, "rstrip": False,
           "normalized": False}
    vocab = {"</s>": 0, "[UNK]": 1, **{word: number + 2 for number, word in enumerate(words)}}
    return json.dumps({"version": "1.0", "added_tokens": [end], "normalizer": None,
                       "pre_tokenizer": {"type": "Whitespace"}, "post_processor": None, "decoder": None,
                       "model": {"type": "WordLevel", "vocab": vocab, "unk_token": "[UNK]"}}).encode()


class VocabularyEngine(Engine):
    """An engine that runs on one vocabulary, by digest, and keeps to `x-vocabulary`."""

    vocabulary, name_of_it = "", ""
    legs: list[tuple[str, str, str, dict]] = []  # request, engine, its vocabulary, the ids that it was given
    turned_away: set[str] = set()

    def listed(self, state: str = "ready") -> dict:
        return {**super().listed(), "vocabulary": self.vocabulary, "state": state}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (call := await read_request(reader, self.record)) is not None:
                method, target, _ = call.first.split()
                if method == "POST" and target.startswith("/v1/chat"):
                    await self._leg(call, writer)
                else:
                    writer.write(answer(200, b'{"held":false}' if target == "/v1/state/hold" else b"{}"))
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def _leg(self, call, writer: asyncio.StreamWriter) -> None:
        body, name = json.loads(call.body), call.fields.get("x-request-id", "")
        stated = call.fields.get("x-vocabulary")
        self.record.add(self.name, f"runs on {self.name_of_it}, gets {name} with logit_bias {body.get('logit_bias')}, "
                        f"x-vocabulary is {'its own' if stated == self.vocabulary else stated}")
        if stated not in (None, self.vocabulary):
            writer.write(answer(503, b'{"error":{"message":"another","code":"other_vocabulary"}}'))
            return
        if self.role == "reader" and name == "under-way" and not self.turned_away:
            self.turned_away.add(name)
            await asyncio.sleep(TURNED_AWAY_AFTER)
            self.record.add(self.name, f"turns {name} away: engine_full")
            writer.write(answer(503, b'{"error":{"message":"no place came free","code":"engine_full"}}'))
            return
        self.legs.append((name, self.name, self.name_of_it, body.get("logit_bias")))
        if self.role == "reader":
            state = {"state_id": body["kv_transfer_params"]["state_id"]}
            read = {"kv_transfer_params": state, "usage": {"prompt_tokens": 10, "completion_tokens": 1}}
            writer.write(answer(200, json.dumps(read).encode(), "content-type: application/json"))
            return
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
                     b"x-kv-state: fetched\r\n\r\n"
                     + chunk(b'data: {"choices":[{"index":0,"delta":{"content":"ok"}}]}\n\n')
                     + chunk(b'data: {"choices":[],"usage":{"prompt_tokens":10,"completion_tokens":1}}\n\n'
                             b"data: [DONE]\n\n") + b"0\r\n\r\n")


async def ask(serving: Serving, name: str) -> int:
    body = json.dumps({"model": "consulta", "stream": True, "max_tokens": 20, "logit_bias": BANNED,
                       "messages": [{"role": "user", "content": "what may I pre-order?"}]}).encode()
    serving.record.add("client", f"sends {name} with logit_bias {BANNED}")
    reader, writer = await asyncio.open_connection("127.0.0.1", serving.port)
    writer.write((f"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: {name}\r\n"
                  f"content-length: {len(body)}\r\n\r\n").encode() + body)
    message = await read_head(reader, serving.record)
    status = 0 if message is None else int(message.first.split()[1])
    text = b""
    if message is not None and status != 200:
        text = await reader.readexactly(int(message.fields["content-length"]))
    serving.record.add("client", f"has {name}: {status} {text[:160]!r}")
    writer.close()
    return status


def files(serving: Serving, folder: Path) -> dict:
    return {
        "name": "g0", "roster": str(serving.fleet), "kept": "",
        "door": {"port": serving.port}, "admin": {"port": serving.admin},
        "peers": {"admin": [f"127.0.0.1:{serving.admin}"]},
        "module": {"gateways": 1, "number": 0, "zone": "hall", "max_legs": 5, "local_reads": True,
                   "cold_from": 0.32, "warm_up_ms": 14000, "fall_multiple": 3},
        "kinds": {"prefill": {"role": "reader", "memory_tok": 220000}, "decode": {"role": "writer", "memory_tok": 160000}},
        "products": {"consulta": {"effect": "idempotent", "slo_ms": 1000, "slo_ms_per_ktok": 40, "token_gap_ms": 60,
                                  "time_limit_ms": 4000, "revenue": 2, "models": ["consulta"]}},
        "duties": {"fleet": "villa-arenal", "voters": [0], "names": ["vocabulary"], "file": str(folder / "votes"),
                   "vocabulary": {"vocabularies": str(folder / "vocabularies.json"),
                                  "profiles": str(folder / "profiles.json")}},
    }


async def play(stage: Stage) -> list[str]:
    digests, folder = {}, stage.folder
    for name, words in (("base-1", WORDS), ("base-2", WORDS[::-1])):
        raw = tokenizer(words)
        (folder / f"{name}.json").write_bytes(raw)
        digests[name] = digest_of(raw, name, ("</s>",))
    (folder / "vocabularies.json").write_text(json.dumps(
        {"vocabularies": {name: {"file": f"{name}.json", "end": ["</s>"]} for name in digests},
         "samples": ["wine perfume gate order"] * 60}))
    (folder / "profiles.json").write_text(json.dumps({"version": 1, "profiles": {}}))

    def engine(name: str, role: str, vocabulary: str) -> VocabularyEngine:
        made = VocabularyEngine(stage.record, name, role, [])
        made.vocabulary, made.name_of_it = digests[vocabulary], vocabulary
        return made

    old = [engine("r1", "reader", "base-1"), engine("r2", "reader", "base-1"), engine("w1", "writer", "base-1")]
    new = [engine("r3", "reader", "base-2"), engine("w2", "writer", "base-2")]
    for one in (*old, *new):
        await one.start()
    serving = Serving(stage.record, folder)
    stage.gateways.append(serving)
    serving.write(serving.config, files(serving, folder))
    serving.write(serving.fleet, {"version": 1, "servers": [one.listed() for one in old]})
    await serving.start()
    until = stage.record.now() + 30
    while await ask(serving, "before") != 200:  # the files of the vocabularies are read first
        if stage.record.now() > until:
            raise CannotRun("a sound fleet did not answer")
        await asyncio.sleep(0.5)
    under_way = asyncio.ensure_future(ask(serving, "under-way"))
    await asyncio.sleep(0.05)
    if stage.trouble:
        stage.record.add("operator", "lists the servers of base-1 as draining, and new ones of base-2")
        serving.write(serving.fleet, {"version": 2, "servers": [one.listed("draining") for one in old]
                                      + [one.listed() for one in new]})
    await under_way
    await ask(serving, "after")  # for the record: what a request gets that comes now
    there = [leg for leg in VocabularyEngine.legs if leg[0] == "under-way"]
    if not VocabularyEngine.turned_away:
        raise CannotRun("the request did not wait at a reader")
    return [f"{name} of {vocabulary} took {ids}, which means \"wine\" where it was sent and \"chocolate\" there"
            for _, name, vocabulary, ids in there if vocabulary == "base-2" and ids == BANNED]


main(__file__, play)
