"""Durable records of jobs, as written to the journal and sent to the backup."""

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
    """A job that its caller may be told is accepted."""

    job: JobId
    digest: str
    submission: Submission
    accepted_unix_s: float
    deadline_unix_s: float


class AttemptStarted(msgspec.Struct, frozen=True, tag="started"):
    """The intent to start an attempt; durable before the start is sent."""

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
        ``COMPLETE``, ``TASK_FAILED``, a not-run code (the attempt did not
        happen) or ``UNKNOWN_ATTEMPT_LOST`` (it is over, no one knows how).
    value : object
        The task's value, or the reason.
    """

    ref: AttemptRef
    code: ResultCode
    value: Any = None


class AttemptWithdrawn(msgspec.Struct, frozen=True, tag="withdrawn"):
    """An attempt whose start was never sent; its task waits again."""

    ref: AttemptRef


class JobCancelled(msgspec.Struct, frozen=True, tag="cancelled"):
    """A job that starts nothing more."""

    job: JobId
    code: ResultCode


class JobClosed(msgspec.Struct, frozen=True, tag="closed"):
    """A job whose answer is fixed."""

    job: JobId
    code: ResultCode


class JobForgotten(msgspec.Struct, frozen=True, tag="forgotten"):
    """A job whose answer is no longer kept."""

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
    """Decode a record that `encode_record` made."""
    return _decoder.decode(data)
