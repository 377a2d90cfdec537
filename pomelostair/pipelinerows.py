"""Where pipelines are kept in the store.

Declarations and cancellations are written by the entry that took them, spread
over partitions so that the rate of one bounds nothing. Progress is written by
the leader, in the partition of its lease row.
"""

import attrs

from pomelostair import pipeline
from pomelostair import store

TABLE = "pipelines"
PARTITIONS = 8
PROGRESS_PREFIX = "progress/cell/"
AGENTS_PREFIX = "agents/cell/"
_JOB = "job/"
_CANCEL = "cancel/"


@attrs.frozen
class DeclarationRow:
    """A row that declares a pipeline."""

    declaration: pipeline.Declaration
    version: int


@attrs.frozen
class CancellationRow:
    """A row that cancels a pipeline."""

    id: str


def partition_prefix(partition: int) -> str:
    """Returns the start of the keys of one partition."""
    return f"{TABLE}/{partition}/"


def declaration_key(pipeline_id: str) -> str:
    """Returns the key of a declaration."""
    return f"{_prefix_of(pipeline_id)}{_JOB}{pipeline_id}"


def cancellation_key(pipeline_id: str) -> str:
    """Returns the key of a cancellation."""
    return f"{_prefix_of(pipeline_id)}{_CANCEL}{pipeline_id}"


def progress_key(pipeline_id: str) -> str:
    """Returns the key of a progress."""
    return f"{PROGRESS_PREFIX}{pipeline_id}"


def pipeline_id_of(key: str) -> str:
    """Returns the id of the pipeline that a row of the table is about."""
    return key.rpartition("/")[2]


def is_cancellation(key: str) -> bool:
    """Returns whether a row of the table cancels a pipeline."""
    return f"/{_CANCEL}" in key


def decode(row: store.Row) -> DeclarationRow | CancellationRow:
    """Returns what a row of the table says.

    Raises:
        msgspec.MsgspecError: The row is of another writer.
        ValueError: Likewise.
    """
    _, _, name = row.key.split("/", 2)
    kind, _, pipeline_id = name.partition("/")
    if f"{kind}/" == _CANCEL:
        return CancellationRow(pipeline_id)
    return DeclarationRow(pipeline.decode_declaration(row.value), row.version)


def _prefix_of(pipeline_id: str) -> str:
    return partition_prefix(pipeline.partition(pipeline_id, PARTITIONS))
