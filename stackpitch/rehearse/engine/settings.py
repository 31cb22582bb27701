"""What a stand-in engine is told at its start."""

import msgspec


class EngineSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One stand-in engine. Times in milliseconds, speeds a second."""

    name: str
    host: str = "127.0.0.1"
    port: int
    control_port: int
    records: str
    seed: int = 1
    role: str = "writer"  # reader, writer or mixed
    cell: int = 0
    slots: int = 32
    queue: int = 32
    memory_tok: int = 200_000
    kept_tok: int = 400_000  # prefixes kept beside the memory of what runs
    chunk: int = 2048
    step_ms: float = 12.0
    per_seq_ms: float = 0.15
    read_per_s: float = 20_000.0
    near_per_s: float = 300_000.0  # tokens of read state to an engine of the same cell
    far_per_s: float = 120_000.0  # and to another's: this reader's part of its cell's link
    local_reads: bool = True
    report_period_ms: float = 300.0
    report_noise: float = 0.05
    reports: bool = True
    state_ttl_ms: float = 8000.0  # a state that nobody asks for, as after a gateway's death
    born_cold: bool = False
    cold_from: float = 0.3
    warm_up_ms: float = 13_000.0
    fall_multiple: float = 2.5
    fall_ms: float = 1000.0
    vocabulary: str = ""  # digest of the one that it runs on
    tokenizer: str = ""  # its file, by which legs' token ids are read for the records
    weights: dict[str, str] = {}  # models and their versions that it runs on at its start
    load_ms: float = 2000.0  # to load another version
    mean_out_tok: int = 80  # by which a leg's work at a writer is weighed
