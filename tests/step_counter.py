"""Counts how often tasks are resumed, which bounds processor time without a clock."""

from collections import Counter

import trio


class StepCounter(trio.abc.Instrument):
    """Counts the times that each task is resumed by the event loop."""

    def __init__(self):
        self.steps = Counter()

    def before_task_step(self, task):
        self.steps[task] += 1

    def steps_of(self, name):
        """Return the steps of all tasks whose function has this qualified name."""
        return sum(
            count for task, count in self.steps.items() if task.name.endswith(name)
        )
