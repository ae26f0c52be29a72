from currantwell.control_status import ControlStatus
from currantwell.status import Change, HostState
from tests.builders import FakeCluster, apply, registration, set_preset, view


def test_hosts_are_listed_with_what_they_do():
    node = FakeCluster(["h-1"]).nodes["h-1"]
    apply(node.state, registration("h-2"), registration("h-1"), registration("h-3"))
    apply(node.state, view(1, "h-1", "h-2"))
    assert list(ControlStatus(node.control).hosts()) == [
        HostState("h-1", "valdres", "serving", "primary"),
        HostState("h-2", "valdres", "serving", "backup"),
        HostState("h-3", "valdres", "serving"),
    ]


def test_the_newest_changes_come_first_and_refusals_are_told():
    node = FakeCluster(["h-1"]).nodes["h-1"]
    apply(node.state, set_preset("peak"), set_preset("maintenance", id="c-2"))
    newest, first = ControlStatus(node.control).recent_changes(5)
    assert newest.what == "set_preset maintenance: refused, VERSION_CONFLICT"
    assert first == Change(
        "1970-01-01 00:01:40+00:00", "ada", "set_preset peak", "dawn"
    )
    assert ControlStatus(node.control).recent_changes(1) == [newest]
