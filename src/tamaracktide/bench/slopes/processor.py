"""CPU time of decisions and messages, without I/O."""

from tamaracktide.bench.slopes import meters
from tamaracktide.bench.slopes import samples
from tamaracktide.bench.slopes import series
from tamaracktide.core import cell as cell_core
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import claim_events
from tamaracktide.core import claim_records
from tamaracktide.core import committer
from tamaracktide.core import epochs
from tamaracktide.core import membership
from tamaracktide.core import table_assembly
from tamaracktide.protocol import codec
from tamaracktide.protocol import messages

GRANTS = 200
WAITING_ENGINES = 4
COMMITS = 40
SEGMENT_COMMITS = 41
SEGMENT_KEYS = 16_000
ROUNDS = 300
EDITS = 5
ZONES = 6
US_PER_S = 1e6


async def measure_grants(size: int, seed: int) -> tuple[series.Reading, ...]:
    """Grants and ends requests in a cell of `size` engines at half load."""
    cell = samples.make_cell(size, seed)
    adapters = size * samples.SLOTS
    grant_ids = _submit(cell, 0, size * samples.BATCH_LIMIT // 2, adapters)
    cpu_timer = meters.CpuTimer()
    for number in range(GRANTS):
        grant_ids += _submit(cell, len(grant_ids) + 10**6 + number, 1, adapters)
        cell.handle(cell_events.GrantEnded(grant_id=grant_ids.pop(0)), 1.0)
    mean_us = cpu_timer.seconds / GRANTS * US_PER_S
    return (series.Reading("processor time of a grant", "us", mean_us),)


async def measure_waiting_grants(
    size: int, seed: int
) -> tuple[series.Reading, ...]:
    """Ends and submits requests in a full cell with `size` queued requests."""
    cell = samples.make_cell(WAITING_ENGINES, seed)
    adapters = WAITING_ENGINES * samples.SLOTS
    batch_slots = WAITING_ENGINES * samples.BATCH_LIMIT
    grant_ids = _submit(cell, 0, batch_slots, adapters)
    _submit(cell, 10**6, size, adapters)
    granted = 0
    cpu_timer = meters.CpuTimer()
    for number in range(GRANTS):
        ended = cell_events.GrantEnded(grant_id=grant_ids.pop(0))
        new_grants = _list_grants(cell.handle(ended, 1.0))
        new_grants += _submit(cell, 2 * 10**6 + number, 1, adapters)
        grant_ids += new_grants
        granted += len(new_grants)
    mean_us = cpu_timer.seconds / max(granted, 1) * US_PER_S
    name = "processor time of a grant from a queue"
    return (series.Reading(name, "us", mean_us),)


def _submit(
    cell: cell_core.Cell, first: int, count: int, adapters: int
) -> list[str]:
    """Submits requests and returns the ids of the grants."""
    granted: list[str] = []
    for number in range(first, first + count):
        submit = samples.make_submit(number, number % adapters)
        granted += _list_grants(cell.handle(submit, 1.0))
    return granted


def _list_grants(actions: list[cell_actions.CellAction]) -> list[str]:
    return [a.grant_id for a in actions if isinstance(a, cell_actions.Grant)]


async def measure_commits(size: int, _seed: int) -> tuple[series.Reading, ...]:
    """Commits batches of `size` claims and their outcomes in memory."""
    claim_committer = committer.Committer(committer.CommitterSettings())
    version = 0
    cpu_timer = meters.CpuTimer()
    for number in range(COMMITS):
        now = float(number)
        events = _make_claim_events(number, size)
        while events:
            for action in claim_committer.handle(
                events.pop(0), now, 1.7e9 + now
            ):
                match action:
                    case claim_events.ReadHead():
                        events.insert(0, claim_events.HeadRead(b"", 0))
                    case claim_events.WriteHead():
                        version += 1
                        written = claim_events.HeadWritten(version)
                        events.append(written)
                    case claim_events.StoreSegment(segment_id):
                        stored = claim_events.SegmentStored(segment_id)
                        events.insert(0, stored)
    mean_us = cpu_timer.seconds / COMMITS * US_PER_S
    return (
        series.Reading("processor time of a claim commit", "us", mean_us),
        series.Reading("commits", "commits", claim_committer.commits / COMMITS),
    )


def _make_claim_events(
    number: int, size: int
) -> list[claim_events.CommitterEvent]:
    """Returns the outcomes of the previous batch and a batch of new claims."""
    events: list[claim_events.CommitterEvent] = []
    for index in range(size):
        if number:
            events.append(_make_outcome(number - 1, index))
    events.extend(_make_claim(number, index) for index in range(size))
    return events


def _make_outcome(number: int, index: int) -> claim_events.ClaimOutcome:
    attempt = f"{number:016x}{index:016x}"
    return claim_events.ClaimOutcome(
        attempt_id=attempt,
        key_hash=claim_records.hash_key("caller", attempt),
        state=claim_records.ClaimState.COMPLETED,
        status=200,
        body=b"x" * 64,
    )


async def measure_segments(size: int, _seed: int) -> tuple[series.Reading, ...]:
    """Commits single claims to a shard with `size` sealed segments."""
    claim_committer = committer.Committer(committer.CommitterSettings())
    now_unix_s = 1.7e9
    segment = samples.make_segment(0, SEGMENT_KEYS)
    encoded_filter = claim_records.build_filter(segment)
    head = claim_records.encode_head(_make_sealed_head(size, now_unix_s))
    reads = 0
    written = 0
    cpu_timer = meters.CpuTimer()
    for number in range(SEGMENT_COMMITS):
        events: list[claim_events.CommitterEvent] = [_make_claim(number, 0)]
        while events:
            event = events.pop(0)
            for action in claim_committer.handle(
                event, float(number), now_unix_s
            ):
                match action:
                    case claim_events.ReadHead():
                        events.insert(0, claim_events.HeadRead(head, 1))
                    case claim_events.ReadFilter(segment_id):
                        reads += 1
                        read = claim_events.FilterRead(
                            segment_id, encoded_filter
                        )
                        events.append(read)
                    case claim_events.WriteHead(data):
                        written = len(data)
                        events.append(claim_events.HeadWritten(number + 2))
        if not number:
            # The first commit reads the head and all filters.
            first_us = cpu_timer.seconds * US_PER_S
            cpu_timer = meters.CpuTimer()
    mean_us = cpu_timer.seconds / (SEGMENT_COMMITS - 1) * US_PER_S
    return (
        series.Reading(
            "processor time of a claim in a full shard", "us", mean_us
        ),
        series.Reading("processor time of a shard's start", "us", first_us),
        series.Reading("reads of a shard's start", "calls", reads + 1),
        series.Reading("claim head written", "bytes", written),
    )


def _make_sealed_head(size: int, now_unix_s: float) -> claim_records.ClaimHead:
    return claim_records.ClaimHead(
        segments=tuple(
            claim_records.SegmentEntry(
                segment_id=f"{number:032x}",
                newest_unix_s=now_unix_s,
                count=SEGMENT_KEYS,
                is_archive=True,
            )
            for number in range(size)
        )
    )


def _make_claim(number: int, index: int) -> claim_events.Claim:
    attempt = f"{number:016x}{index:016x}"
    return claim_events.Claim(
        attempt_id=attempt,
        key_hash=claim_records.hash_key("caller", attempt),
        fingerprint=attempt,
    )


async def measure_digests(size: int, _seed: int) -> tuple[series.Reading, ...]:
    """Encodes, decodes and applies a digest with `size` epochs."""
    digest = messages.Digest(
        revision=1000,
        epochs={f"engine-{number}": 12 for number in range(size)},
    )
    epoch_tracker = epochs.EpochTracker()

    def exchange() -> None:
        match codec.decode_message(codec.encode_message(digest)):
            case messages.Digest() as received:
                epoch_tracker.observe_all(received.epochs)

    mean_us = meters.measure_call_s(exchange, ROUNDS) * US_PER_S
    encoded_bytes = len(codec.encode_message(digest))
    return (
        series.Reading("processor time of a digest", "us", mean_us),
        series.Reading("digest", "bytes", encoded_bytes),
    )


async def measure_heartbeats(
    size: int, _seed: int
) -> tuple[series.Reading, ...]:
    """Encodes and decodes a heartbeat with the loads of `size` cells."""
    loads = tuple(
        messages.CellLoad(
            pool=f"base-{number}",
            zone="region-1-a",
            running=900,
            capacity=1280,
            waiting=3,
            wait_s=0.25,
        )
        for number in range(size)
    )
    heartbeat = messages.Heartbeat(sequence=100_000, loads=loads)

    def exchange() -> None:
        codec.decode_message(codec.encode_message(heartbeat))

    mean_us = meters.measure_call_s(exchange, ROUNDS) * US_PER_S
    encoded_bytes = len(codec.encode_message(heartbeat))
    return (
        series.Reading("processor time of a heartbeat", "us", mean_us),
        series.Reading("heartbeat", "bytes", encoded_bytes),
    )


async def measure_owners(size: int, _seed: int) -> tuple[series.Reading, ...]:
    """Finds the owners of all cells among `size` schedulers."""
    settings = membership.MembershipSettings()
    membership_view = membership.Membership(settings, "scheduler-0", "zone-0")
    membership_view.handle(membership.ListRead(_list_members(size)), 0.0)
    pools = samples.make_pools()

    def find_owners() -> None:
        for pool in pools:
            for cell in membership_view.list_cells(pool):
                membership_view.find_owner(cell, 0.0)

    mean_us = meters.measure_call_s(find_owners, 10) * US_PER_S
    return (series.Reading("processor time of finding owners", "us", mean_us),)


def _list_members(schedulers: int) -> tuple[membership.Member, ...]:
    members = [
        membership.Member(
            instance=f"{role}-{number}",
            role=role,
            # A pool holds every fifth engine, so blocks of five engines share
            # a zone: each pool then has engines in every zone.
            zone=f"zone-{number // samples.POOLS % ZONES}",
            address="10.0.0.1:8080",
            inner_address="10.0.0.1:8090",
        )
        for role, count in (
            ("scheduler", schedulers),
            ("gateway", schedulers),
            ("engine", samples.ENGINES),
        )
        for number in range(count)
    ]
    return tuple(members)


async def measure_edits(size: int, _seed: int) -> tuple[series.Reading, ...]:
    """Applies edits of one row to tables of `size` routes."""
    assembly = table_assembly.Assembly()
    _apply_tables(assembly, size, 1, "1")
    edits = [_make_edit(size, number) for number in range(2, 2 + EDITS)]
    cpu_timer = meters.CpuTimer()
    for head, contents in edits:
        assembly.accept_head(head)
        missing = assembly.list_missing()
        assembly.accept_shards({digest: contents[digest] for digest in missing})
    mean_us = cpu_timer.seconds / EDITS * US_PER_S
    return (series.Reading("processor time of an edit", "us", mean_us),)


def _make_edit(size: int, revision: int) -> tuple[bytes, dict[str, bytes]]:
    """Returns encoded tables whose last route has the version `revision`."""
    changed = samples.make_route(size - 1, str(revision))
    return samples.encode_changed_tables(size, revision, changed)


def _apply_tables(
    assembly: table_assembly.Assembly, size: int, revision: int, version: str
) -> None:
    changed = samples.make_route(size - 1, version)
    head, contents = samples.encode_changed_tables(size, revision, changed)
    assembly.accept_head(head)
    assembly.accept_shards(contents)


TRIALS = (
    series.Trial(
        name="grants",
        size_label="engines of a cell",
        sizes=(5, 10, 20, 40),
        run=measure_grants,
    ),
    series.Trial(
        name="waiting_grants",
        size_label="waiting requests of a cell",
        sizes=(16, 128, 512),
        run=measure_waiting_grants,
    ),
    series.Trial(
        name="commits",
        size_label="claims in a commit",
        sizes=(1, 4, 16, 64),
        run=measure_commits,
    ),
    series.Trial(
        name="segments",
        size_label="segments of a claim shard",
        sizes=(16, 64, 128),
        run=measure_segments,
    ),
    series.Trial(
        name="digests",
        size_label="epochs in a digest",
        sizes=(0, 20, 100, 600),
        run=measure_digests,
    ),
    series.Trial(
        name="heartbeats",
        size_label="cells in a heartbeat",
        sizes=(0, 1, 5, 30),
        run=measure_heartbeats,
    ),
    series.Trial(
        name="owners",
        size_label="schedulers",
        sizes=(20, 80, 330),
        run=measure_owners,
    ),
    series.Trial(
        name="edits",
        size_label="routes",
        sizes=(4096, 16_384, 68_000),
        run=measure_edits,
    ),
)
