"""Durable records of jobs, written to the journal and replicated to the backup."""

from typing import Any

import msgspec

from .codes import ResultCode
from .endpoint_protocol import AttemptRef
from .ids import EndpointId, Epoch, Incarnation, JobId
from .submission import Submission

__all__ = [
    "AttemptEnded",
    "AttemptStarted",
    "AttemptWithdrawn",
    "JobAccepted",
    "JobCancelled",
    "JobClosed",
    "JobForgotten",
    "Record",
    "decode_record",
    "encode_record",
]


class JobAccepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The acceptance of a job; durable before its caller gets a reply."""

    job: JobId
    digest: str
    submission: Submission
    accepted_unix_s: float
    deadline_unix_s: float


class AttemptStarted(msgspec.Struct, frozen=True, tag="started"):
    """The decision to start an attempt; durable before the start is sent."""

    ref: AttemptRef
    epoch: Epoch
    endpoint: EndpointId
    incarnation: Incarnation


class AttemptEnded(msgspec.Struct, frozen=True, tag="ended"):
    """The end of an attempt.

    Parameters
    ----------
    ref : AttemptRef
        The attempt.
    code : ResultCode
        ``COMPLETE``, ``TASK_FAILED``, ``TASK_STOPPED``, a not-run code (the attempt
        never ran) or ``UNKNOWN_ATTEMPT_LOST`` (it has ended, with an unknown outcome).
    value : object
        The task's value, or the reason of a failure.
    """

    ref: AttemptRef
    code: ResultCode
    value: Any = None


class AttemptWithdrawn(msgspec.Struct, frozen=True, tag="withdrawn"):
    """The withdrawal of a start that was never sent; its task waits again."""

    ref: AttemptRef


class JobCancelled(msgspec.Struct, frozen=True, tag="cancelled"):
    """The cancellation of a job; none of its tasks is started any more."""

    job: JobId
    code: ResultCode


class JobClosed(msgspec.Struct, frozen=True, tag="closed"):
    """The close of a job; its answer is final."""

    job: JobId
    code: ResultCode


class JobForgotten(msgspec.Struct, frozen=True, tag="forgotten"):
    """The removal of a job's answer after its retention time."""

    job: JobId


Record = (
    JobAccepted
    | AttemptStarted
    | AttemptEnded
    | AttemptWithdrawn
    | JobCancelled
    | JobClosed
    | JobForgotten
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Encode a record with MessagePack."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> Record:
    """Decode a record that `encode_record` encoded."""
    return _decoder.decode(data)
