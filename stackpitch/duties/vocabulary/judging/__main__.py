"""One task from standard input, its answer as one line to standard output."""

import sys

import msgspec

from stackpitch.duties.vocabulary.judging.files import Task, judged, looked


def main() -> None:
    task = msgspec.json.decode(sys.stdin.buffer.readline(), type=Task)
    if task.new:
        steps = judged(task)
        while True:
            try:
                next(steps)
            except StopIteration as done:
                answer = msgspec.json.encode(done.value)
                break
    else:
        answer = msgspec.json.encode(looked(task.files))
    sys.stdout.buffer.write(answer + b"\n")


main()
