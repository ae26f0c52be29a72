"""Routes: the longest prefix matches; an inconsistent configuration is refused."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantwell.errors import InvalidRequest
from currantwell.fleet.routes import RouteTable, check_configuration
from tests.fleet.builders import a_configuration, a_route


def test_the_longest_prefix_matches():
    short, long = a_route(path_prefix="/a/"), a_route(path_prefix="/a/b/")
    table = RouteTable([short, long])
    assert table.find("board.example", "/a/b/c") is long
    assert table.find("board.example", "/a/c") is short
    assert table.find("board.example", "/c") is None
    assert table.find("other.example", "/a/c") is None


words = st.text("ab/", max_size=4)


@given(st.lists(words, unique=True), words)
def test_the_longest_of_all_matching_prefixes_is_found(prefixes, path):
    table = RouteTable([a_route(path_prefix=prefix) for prefix in prefixes])
    found = table.find("board.example", path)
    matching = [prefix for prefix in prefixes if path.startswith(prefix)]
    assert (found and found.path_prefix) == max(matching, key=len, default=None)


class CountingPath(str):
    """Counts how often it is compared with a prefix."""

    __slots__ = ("looks",)

    def __getitem__(self, key):
        self.looks += 1
        return super().__getitem__(key)

    def startswith(self, *args):
        self.looks += 1
        return super().startswith(*args)


def test_a_lookup_does_not_try_each_route_of_a_host():
    """Else each request costs a scan of thousands of routes."""
    table = RouteTable([a_route(path_prefix=f"/{n:06}/") for n in range(4_000)])
    path = CountingPath("/003999/abc")
    path.looks = 0
    assert table.find("board.example", path).path_prefix == "/003999/"
    assert path.looks < 10


@pytest.mark.parametrize(
    "routes",
    [
        (a_route(service="unknown"),),
        (a_route(timeout_s=0.0),),
        (a_route(), a_route()),
    ],
    ids=["unknown service", "no timeout", "the same place twice"],
)
def test_an_inconsistent_configuration_is_refused(routes):
    with pytest.raises(InvalidRequest):
        check_configuration(a_configuration(1, *routes))
