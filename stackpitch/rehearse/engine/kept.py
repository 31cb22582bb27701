"""Prefixes that an engine keeps beside the memory of what runs."""

from collections import OrderedDict

import xxhash

BLOCK = 256  # bytes of text, taken as 64 tokens


class Kept:
    """Prefixes kept, by block; emptied by size, least lately used first."""

    def __init__(self, most_tok: int) -> None:
        self.most = max(1, most_tok * 4 // BLOCK)
        self.blocks: OrderedDict[int, None] = OrderedDict()

    @staticmethod
    def chain(text: str) -> list[int]:
        data, hashes, last = text.encode(), [], 0
        for at in range(0, len(data) - BLOCK + 1, BLOCK):
            last = xxhash.xxh3_64_intdigest(data[at : at + BLOCK], seed=last)
            hashes.append(last)
        return hashes

    def find(self, text: str) -> int:
        """Tokens of the text's beginning that are kept."""
        count = 0
        for one in self.chain(text):
            if one not in self.blocks:
                break
            self.blocks.move_to_end(one)
            count += 1
        return count * BLOCK // 4

    def add(self, text: str) -> None:
        for one in self.chain(text):
            self.blocks[one] = None
            self.blocks.move_to_end(one)
        while len(self.blocks) > self.most:
            self.blocks.popitem(last=False)
