"""What an entry host asks of the host that owns a job."""

from typing import Protocol

from .answers import Answer, Refusal, TaskStatus
from .endpoint_protocol import Announcement, AnnouncementReply
from .ids import JobId
from .submission import Submission

__all__ = ["JobGateway"]


class JobGateway(Protocol):
    """The owner of a data centre's jobs, in this process or on another host."""

    async def submit(self, submission: Submission) -> Answer | Refusal:
        """Accept a job, or find the one that has the same key."""
        ...

    async def wait(self, job: JobId, timeout_s: float) -> Answer | Refusal:
        """Return the answer of a job, or its state once the time is up."""
        ...

    async def cancel(self, job: JobId) -> Answer | Refusal:
        """Start nothing more of a job and stop what runs."""
        ...

    async def tasks(self, job: JobId) -> tuple[TaskStatus, ...] | Refusal:
        """Return where each task of a job stands."""
        ...

    async def explain(self, job: JobId) -> list[str] | Refusal:
        """Say why the tasks of a job stand where they stand."""
        ...

    async def announce(self, announcement: Announcement) -> AnnouncementReply | Refusal:
        """Take in an endpoint's announcement and grant it a lease."""
        ...

    async def endpoints(self) -> list[Announcement] | Refusal:
        """Return what all known endpoints last said of themselves."""
        ...
