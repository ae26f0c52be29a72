from currantwell.view_rules import first_view, repair, without
from currantwell.views import View


def test_a_view_passes_over_a_lost_member_alone():
    view = View("valdres", 3, "h-1", "h-2")
    assert repair(view, {"h-3"}) is None
    assert repair(view, {"h-1"})[0] == View("valdres", 4, "h-2")
    assert repair(view, {"h-2"})[0] == View("valdres", 4, "h-1")
    assert repair(view, {"h-1", "h-2"}) is None
    assert repair(View("valdres", 3, "h-1"), {"h-1"}) is None
    assert without(View("valdres", 3, "h-1"), "h-1") is None


def test_the_first_view_has_as_many_hosts_as_copies():
    assert first_view("valdres", ["h-2", "h-1"], 1) == View("valdres", 1, "h-1")
    assert first_view("valdres", ["h-2", "h-1"], 2) == View("valdres", 1, "h-1", "h-2")
    assert first_view("valdres", ["h-1"], 2) is None
    assert first_view("valdres", [], 1) is None
