"""The events of a written answer."""

import msgspec

from stackpitch.rehearse.engine.work import Work
from stackpitch.wire import engine


def event(work: Work, word: str, created: int, number: int) -> bytes:
    end = '"stop"' if number + 1 == work.answer_tok else "null"
    if work.chat:
        role = '"role":"assistant",' if number == 0 else ""
        choice = f'{{"index":0,"delta":{{{role}"content":"{word}"}},"finish_reason":{end}}}'
        kind = "chat.completion.chunk"
    else:
        choice, kind = f'{{"index":0,"text":"{word}","finish_reason":{end}}}', "text_completion"
    return (
        f'{{"id":"{work.key}","object":"{kind}","created":{created},"model":"{work.product}",'
        f'"choices":[{choice}]}}'
    ).encode()


def usage(work: Work, created: int) -> bytes:
    return msgspec.json.encode(
        {
            "id": work.key,
            "object": "chat.completion.chunk",
            "created": created,
            "model": work.product,
            "choices": [],
            "usage": engine.Usage(work.prompt_tok, work.made, engine.Details(work.kept)),
        }
    )
