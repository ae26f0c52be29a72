"""Groups: each endpoint belongs to exactly one group of its data centre."""

import pytest

from currantwell.fleet.groups import groups_of
from currantwell.ids import DataCentre, EndpointId

VALDRES = DataCentre("valdres")


@pytest.mark.parametrize(("hosts", "count"), [(0, 1), (1, 1), (3, 1), (9, 2), (15, 4)])
def test_the_number_of_groups_grows_with_the_hosts(hosts, count):
    assert len(groups_of(VALDRES, hosts)) == count


def test_each_endpoint_belongs_to_one_group():
    groups = groups_of(VALDRES, 12)
    sizes = dict.fromkeys(groups, 0)
    for number in range(200):
        endpoint = EndpointId(f"i-{number}")
        (holder,) = [group for group in groups if group.contains(VALDRES, endpoint)]
        sizes[holder] += 1
    assert min(sizes.values()) > 200 / len(groups) / 2
    assert not any(group.contains(DataCentre("x"), EndpointId("i")) for group in groups)
