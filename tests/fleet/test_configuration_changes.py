"""Changes between two configurations, applied to the first, give the second."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from currantwell.fleet.configuration_transfer import apply_changes, changes_between
from currantwell.fleet.routes import NO_CONFIGURATION, Configuration, Service, ServiceId
from tests.fleet.builders import a_route

# Few names, so that configurations share routes, and differ in some of their fields.
hosts = st.sampled_from(("a.example", "b.example"))
prefixes = st.sampled_from(("/", "/a/", "/a/b/", "/c/"))
pools = st.sampled_from((ServiceId("crew-board"), ServiceId("check-in")))
routes = st.builds(
    a_route,
    host=hosts,
    path_prefix=prefixes,
    service=pools,
    timeout_s=st.sampled_from((1.5, 2.5)),
    priority=st.integers(0, 1),
)
route_tuples = st.lists(
    routes, unique_by=lambda route: (route.host, route.path_prefix), max_size=8
).map(tuple)
service_tuples = st.lists(
    st.builds(Service, pools, st.booleans()),
    unique_by=lambda service: service.name,
).map(tuple)


def configurations(versions):
    return st.builds(
        Configuration,
        versions,
        route_tuples,
        service_tuples,
        st.integers(1, 1_000_000),
        source=st.binary(max_size=4),
    )


# Version 0 is never put: it is what a host holds that has no configuration yet.
old_ones = st.just(NO_CONFIGURATION) | configurations(st.integers(1, 9))
new_ones = configurations(st.integers(10, 19))


def content(configuration):
    """Return what an entry host obeys; the order of routes has no meaning."""
    ordered = sorted(configuration.routes, key=lambda r: (r.host, r.path_prefix))
    return msgspec.structs.replace(configuration, routes=tuple(ordered), source=b"")


@settings(deadline=None, derandomize=True, max_examples=500)
@given(old_ones, new_ones)
def test_applied_changes_give_the_second_configuration(old, new):
    changes = changes_between(old, new)
    assert content(apply_changes(old, changes)) == content(new)


@settings(deadline=None, derandomize=True, max_examples=100)
@given(old_ones, new_ones)
def test_only_routes_that_differ_are_among_the_changes(old, new):
    changes = changes_between(old, new)
    assert not set(changes.routes) & set(old.routes)
