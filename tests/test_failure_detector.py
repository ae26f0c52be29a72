import pytest

from currantwell.failure_detector import FailureDetector


class Pair:
    """A monitored host that sends a renewal every half second while it can."""

    def __init__(self):
        self.detector = FailureDetector()
        self.detector.watch(["h-2"], 0.0)
        self.now_s = 0.0
        self.echo = 0

    def run(self, seconds, sends=True, receives=True, running=True):
        for _ in range(round(seconds * 10)):
            self.now_s = round(self.now_s + 0.1, 3)
            if running:
                self.detector.tick(self.now_s)
            if running and sends and round(self.now_s * 10) % 5 == 0:
                number = self.detector.record_renewal("h-2", self.echo, self.now_s)
                self.echo = number if receives else self.echo
        return self.detector.suspects(self.now_s)


def test_a_host_that_answers_is_not_suspected():
    assert Pair().run(60) == set()


@pytest.mark.parametrize(
    ("fault", "within_s"),
    [({"sends": False}, 1.7), ({"receives": False}, 3.2)],
    ids=["no renewals", "replies do not reach it"],
)
def test_a_lost_host_is_suspected_and_then_cleared(fault, within_s):
    pair = Pair()
    pair.run(5)
    assert pair.run(1.0, **fault) == set()
    assert pair.run(within_s - 1.0, **fault) == {"h-2"}
    assert pair.run(1.1) == set()


def test_a_freeze_of_the_detector_raises_no_suspicion():
    pair = Pair()
    pair.run(5)
    pair.run(30, running=False)
    assert pair.run(0.1, sends=False) == set()
    assert pair.run(1.6, sends=False) == {"h-2"}


def test_a_host_that_is_no_longer_monitored_is_removed():
    pair = Pair()
    pair.run(2, sends=False)
    pair.detector.watch([], pair.now_s)
    assert pair.detector.suspects(pair.now_s) == set()
