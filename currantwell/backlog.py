"""The backlog: how much work waits, in all and for each team."""

import dataclasses

from .ids import Team
from .scheduler_types import WaitingTask

__all__ = ["Backlog"]


@dataclasses.dataclass(slots=True)
class _Share:
    """The backlog of one team."""

    work_s: float = 0.0
    tasks: int = 0


class Backlog:
    """Counts waiting tasks and their estimated run time.

    Attributes
    ----------
    work_s : float
        Estimated run time at speed 1 of all waiting tasks.
    tasks : int
        How many tasks wait.
    """

    def __init__(self) -> None:
        self.work_s = 0.0
        self.tasks = 0
        self._teams: dict[Team, _Share] = {}

    def add(self, task: WaitingTask) -> None:
        """Count a task."""
        share = self._teams.setdefault(task.team, _Share())
        share.work_s += task.estimate_s
        share.tasks += 1
        self.work_s += task.estimate_s
        self.tasks += 1

    def remove(self, task: WaitingTask) -> None:
        """Count a task no more."""
        share = self._teams[task.team]
        share.work_s -= task.estimate_s
        share.tasks -= 1
        if not share.tasks:
            del self._teams[task.team]
        self.tasks -= 1
        self.work_s = self.work_s - task.estimate_s if self.tasks else 0.0

    def team_work_s(self, team: Team) -> float:
        """Return the estimated run time of a team's waiting tasks."""
        share = self._teams.get(team)
        return share.work_s if share else 0.0

    def team_tasks(self, team: Team) -> int:
        """Return how many tasks of a team wait."""
        share = self._teams.get(team)
        return share.tasks if share else 0

    def teams(self) -> list[Team]:
        """Return the teams that have waiting tasks."""
        return list(self._teams)
