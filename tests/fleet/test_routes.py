"""Routes: the longest prefix matches; an inconsistent configuration is refused."""

import pytest

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
