"""The interface through which an entry host calls the host that owns a job."""

from typing import Protocol

from .answers import Answer, Refusal, TaskStatus
from .endpoint_protocol import Announcement, AnnouncementReply
from .ids import JobId
from .submission import Submission

__all__ = ["JobGateway"]


class JobGateway(Protocol):
    """The owner of a data centre's jobs, in this process or on another host."""

    async def submit(self, submission: Submission) -> Answer | Refusal:
        """Accept a job, or return the state of the job that has the same key."""
        ...

    async def wait(self, job: JobId, timeout_s: float) -> Answer | Refusal:
        """Return the answer of a job, or its state if the timeout passes first."""
        ...

    async def cancel(self, job: JobId) -> Answer | Refusal:
        """Cancel a job: start no more of its tasks and stop the running ones."""
        ...

    async def tasks(self, job: JobId) -> tuple[TaskStatus, ...] | Refusal:
        """Return the state of each task of a job."""
        ...

    async def explain(self, job: JobId) -> list[str] | Refusal:
        """Return lines that explain the state of a job's tasks."""
        ...

    async def announce(self, announcement: Announcement) -> AnnouncementReply | Refusal:
        """Record an endpoint's announcement and grant it a lease."""
        ...

    async def endpoints(self) -> list[Announcement] | Refusal:
        """Return the latest announcement of each registered endpoint."""
        ...
