"""The view of the fleet takes in what can be used, and leaves out the rest."""

import pytest

from currantwell.fleet.fleet_view import FleetView
from currantwell.fleet.messages import (
    ControlHostsUpdate,
    Departure,
    EndpointReports,
    EndpointsLeft,
)
from currantwell.ids import EndpointId
from tests.fleet.builders import a_hello, a_report

ODD_REPORTS = [
    a_report("odd", url="http://127.0.0.1:99999"),
    a_report("odd", url="http://127.0.0.1:0"),
    a_report("odd", url="http://127.0.0.1:80\n80"),
    a_report("odd", url="somewhere"),
    a_report("odd", sequence=2**64 - 1),
    a_report("odd", processors=float("nan")),
]


@pytest.mark.parametrize("odd", ODD_REPORTS)
async def test_an_odd_report_leaves_the_others(odd):
    """Registered with a dispatcher, it ended the process."""
    view = FleetView(a_hello(), [])
    view._process(None, EndpointReports((odd, a_report())))
    assert list(view.endpoints) == ["e1"]


async def test_an_odd_report_of_a_known_endpoint_is_ignored():
    view = FleetView(a_hello(), [])
    view._process(None, EndpointReports((a_report(),)))
    odd = a_report(sequence=2, url="http://127.0.0.1:99999")
    view._process(None, EndpointReports((odd,)))
    assert view.endpoints["e1"].report == a_report()


async def test_an_address_that_can_not_be_used_is_not_tried():
    view = FleetView(a_hello(), ["127.0.0.1:7001"])
    view._process(None, ControlHostsUpdate(("127.0.0.1:99999", "127.0.0.1:7002")))
    assert view._control_addresses == {"127.0.0.1:7001", "127.0.0.1:7002"}


async def test_an_endpoint_that_left_is_not_used_by_an_earlier_report():
    """A restarted control host sends what it last knew."""
    view = FleetView(a_hello(), [])
    view._process(None, EndpointReports((a_report(),)))
    view._process(None, EndpointsLeft((Departure(EndpointId("e1"), 1_000),)))
    view._process(None, EndpointReports((a_report(sequence=9),)))
    assert view.endpoints == {}
    view._process(None, EndpointReports((a_report(born_unix_ms=2_000),)))
    assert list(view.endpoints) == ["e1"]
    view._process(None, EndpointsLeft((Departure(EndpointId("e1"), 1_000),)))
    assert list(view.endpoints) == ["e1"]


async def test_a_restarted_host_hears_of_departures_before_reports():
    view = FleetView(a_hello(), [])
    view._process(None, EndpointsLeft((Departure(EndpointId("e1"), 1_000),)))
    view._process(None, EndpointReports((a_report(),)))
    assert view.endpoints == {}
