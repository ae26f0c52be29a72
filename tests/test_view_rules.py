import pytest

from currantwell.view_rules import (
    describe_view_change,
    first_view,
    view_without,
    view_without_suspects,
)
from currantwell.views import View


def test_the_next_view_leaves_out_only_a_lost_member():
    view = View("valdres", 3, "h-1", "h-2")
    assert view_without_suspects(view, {"h-3"}) is None
    assert view_without_suspects(view, {"h-1"})[0] == View("valdres", 4, "h-2")
    assert view_without_suspects(view, {"h-2"})[0] == View("valdres", 4, "h-1")
    assert view_without_suspects(view, {"h-1", "h-2"}) is None
    assert view_without_suspects(View("valdres", 3, "h-1"), {"h-1"}) is None
    assert view_without(View("valdres", 3, "h-1"), "h-1") is None


def test_the_first_view_has_as_many_hosts_as_copies():
    assert first_view("valdres", ["h-2", "h-1"], 1) == View("valdres", 1, "h-1")
    assert first_view("valdres", ["h-2", "h-1"], 2) == View("valdres", 1, "h-1", "h-2")
    assert first_view("valdres", ["h-1"], 2) is None
    assert first_view("valdres", [], 1) is None


@pytest.mark.parametrize(
    ("newest", "primary", "backup", "described"),
    [
        (None, "h-1", None, "first view"),
        (("h-1", "h-2"), "h-2", None, "h-2 takes over from h-1"),
        (("h-1", "h-2"), "h-1", None, "h-1 goes on without h-2"),
        (("h-1", None), "h-1", "h-3", "h-3 holds a whole copy"),
        (("h-1", None), "h-1", None, "h-1 begins anew"),
    ],
)
def test_a_view_change_is_described(newest, primary, backup, described):
    earlier = newest and View("valdres", 1, *newest)
    assert (
        describe_view_change(earlier, View("valdres", 2, primary, backup)) == described
    )
