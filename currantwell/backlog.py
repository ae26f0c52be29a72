"""The backlog: number and estimated run time of waiting tasks, by team."""

import dataclasses

from .ids import Team
from .scheduler_types import WaitingTask

__all__ = ["Backlog"]


@dataclasses.dataclass(slots=True)
class _TeamBacklog:
    """The backlog of one team."""

    work_s: float = 0.0
    tasks: int = 0


class Backlog:
    """Counts the waiting tasks and sums up their estimated run times.

    Attributes
    ----------
    work_s : float
        Total estimated run time of all waiting tasks, in seconds at speed 1.
    tasks : int
        Number of waiting tasks.
    """

    def __init__(self) -> None:
        self.work_s = 0.0
        self.tasks = 0
        self._teams: dict[Team, _TeamBacklog] = {}

    def add(self, task: WaitingTask) -> None:
        """Add a task to the counts."""
        team_backlog = self._teams.setdefault(task.team, _TeamBacklog())
        team_backlog.work_s += task.estimate_s
        team_backlog.tasks += 1
        self.work_s += task.estimate_s
        self.tasks += 1

    def remove(self, task: WaitingTask) -> None:
        """Remove a task from the counts."""
        team_backlog = self._teams[task.team]
        team_backlog.work_s -= task.estimate_s
        team_backlog.tasks -= 1
        if not team_backlog.tasks:
            del self._teams[task.team]
        self.tasks -= 1
        self.work_s = self.work_s - task.estimate_s if self.tasks else 0.0

    def team_work_s(self, team: Team) -> float:
        """Return the total estimated run time of a team's waiting tasks, in seconds."""
        team_backlog = self._teams.get(team)
        return team_backlog.work_s if team_backlog else 0.0

    def team_tasks(self, team: Team) -> int:
        """Return the number of a team's waiting tasks."""
        team_backlog = self._teams.get(team)
        return team_backlog.tasks if team_backlog else 0

    def teams(self) -> list[Team]:
        """Return the teams that have waiting tasks."""
        return list(self._teams)
