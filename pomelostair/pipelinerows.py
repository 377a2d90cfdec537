"""Keys and values of the pipelines' rows in the store.

The entry that accepts a declaration or a cancellation writes it. These rows
are spread over partitions, so that the write rate of one partition does not
limit submissions. The leader writes the progress and the registrations of
agents, in the partition of its lease row, so that one transaction can include
the lease.
"""

import itertools

import attrs
import msgspec

from pomelostair import codec
from pomelostair import contention
from pomelostair import endpoints
from pomelostair import fleet
from pomelostair import pipeline
from pomelostair import store

TABLE = "pipelines"
PARTITIONS = 8
PROGRESS_PREFIX = "progress/cell/"
AGENTS_PREFIX = "agents/cell/"
LEARNED_KEY = "learned/cell/images"
# The store limits a row to 64 KiB.
MAX_ROW_BYTES = 48_000
MAX_LEARNED_PAIRS = 800
# Most entries of a field in a row of progress that is too large with all of
# them; halved until the row fits.
MAX_KEPT_ENTRIES = 1000
# Fields of progress that a row that is too large holds in part, in the order in
# which they are cut down.
_PARTIAL_FIELDS = (
    "checkpoints",
    "unexplained",
    "acquitted",
    "crashes",
    "lost",
    "failed",
)
_DECLARATIONS = "job/"
_CANCELLATIONS = "cancel/"


@attrs.frozen
class DeclarationRow:
    """The decoded row of a declaration.

    Attributes:
        declaration: The declaration.
        version: Version of the row.
    """

    declaration: pipeline.Declaration
    version: int


@attrs.frozen
class CancellationRow:
    """The decoded row of a cancellation.

    Attributes:
        id: Id of the cancelled pipeline.
        version: Version of the row.
    """

    id: str
    version: int


def partition_prefix(partition: int) -> str:
    """Returns the key prefix of one partition."""
    return f"{TABLE}/{partition}/"


def partition_of(pipeline_id: str) -> str:
    """Returns the key prefix of a pipeline's partition."""
    return partition_prefix(pipeline.partition(pipeline_id, PARTITIONS))


def declaration_key(pipeline_id: str) -> str:
    """Returns the key of a pipeline's declaration."""
    return f"{partition_of(pipeline_id)}{_DECLARATIONS}{pipeline_id}"


def cancellation_key(pipeline_id: str) -> str:
    """Returns the key of a pipeline's cancellation."""
    return f"{partition_of(pipeline_id)}{_CANCELLATIONS}{pipeline_id}"


def progress_key(pipeline_id: str) -> str:
    """Returns the key of a pipeline's progress."""
    return f"{PROGRESS_PREFIX}{pipeline_id}"


def pipeline_id_of(key: str) -> str:
    """Returns the pipeline id in the key of a row."""
    return key.rpartition("/")[2]


def is_cancellation(key: str) -> bool:
    """Returns whether the key is that of a cancellation."""
    return f"/{_CANCELLATIONS}" in key


def decode(row: store.Row) -> DeclarationRow | CancellationRow:
    """Decodes the row of a declaration or a cancellation.

    Raises:
        msgspec.MsgspecError: The value is malformed; another program may have
            written it.
        ValueError: The key has fewer than three segments, or is that of
            another pipeline.
    """
    _, _, rest = row.key.split("/", 2)
    kind, _, pipeline_id = rest.partition("/")
    if f"{kind}/" == _CANCELLATIONS:
        return CancellationRow(pipeline_id, row.version)
    declaration = pipeline.decode_declaration(row.value)
    if declaration.id != pipeline_id:
        raise ValueError(f"the row declares {declaration.id!r}")
    return DeclarationRow(declaration, row.version)


def encode_progress(progress: pipeline.Progress) -> bytes:
    """Returns a progress with as much of it as its row may hold.

    A task without its checkpoint runs from its beginning if its worker is lost.
    A lasting task without its worker waits for all workers if the leader is.
    What else is left out counts for nothing with the next leader. A row that
    the store refuses would keep the leader from any commit.
    """
    value = pipeline.encode(progress)
    if len(value) <= MAX_ROW_BYTES:
        return value
    without_checkpoints = attrs.evolve(progress, checkpoints={})
    if len(pipeline.encode(without_checkpoints)) > MAX_ROW_BYTES:
        progress = attrs.evolve(progress, placed=None)
        value = pipeline.encode(progress)
    for field in _PARTIAL_FIELDS:
        entries = getattr(progress, field)
        max_entries = MAX_KEPT_ENTRIES
        while len(value) > MAX_ROW_BYTES and entries:
            kept = dict(itertools.islice(entries.items(), max_entries))
            progress = attrs.evolve(progress, **{field: kept})
            value = pipeline.encode(progress)
            if not max_entries:
                break
            max_entries //= 2
    return value


def encode_registration(registration: fleet.Registration) -> bytes:
    """Returns a registration with as many details as its row may hold.

    A restarted agent waits for the heartbeats of workers without details.
    """
    value = msgspec.msgpack.encode(registration)
    if len(value) > MAX_ROW_BYTES:
        lives = tuple(
            fleet.KnownIncarnation(*known.key, known.address)
            for known in registration.lives
        )
        value = msgspec.msgpack.encode(attrs.evolve(registration, lives=lives))
    return value


def decode_registration(row: store.Row) -> fleet.Registration:
    """Decodes the registration of an agent.

    Workers whose addresses are unusable may have work all the same.

    Raises:
        msgspec.MsgspecError: The value is malformed.
    """
    registration = codec.decode_msgpack(row.value, fleet.Registration)
    return attrs.evolve(
        registration,
        lives=tuple(
            known
            if not known.address or endpoints.is_reachable(known.address)
            else fleet.KnownIncarnation(*known.key)
            for known in registration.lives
        ),
    )


def encode_learned(model: contention.Contention) -> bytes:
    """Returns what is known best of a model, as large as a row may be."""
    max_pairs = MAX_LEARNED_PAIRS
    while True:
        value = msgspec.msgpack.encode(model.learned(max_pairs))
        if len(value) <= MAX_ROW_BYTES or not max_pairs:
            return value
        max_pairs //= 2


def decode_learned(row: store.Row) -> contention.Learned:
    """Decodes what an earlier leader learned.

    Raises:
        msgspec.MsgspecError: The value is malformed.
    """
    return codec.decode_msgpack(row.value, contention.Learned)
