"""The replicated state: versions never decrease and never change their content."""

from hypothesis import given
from hypothesis import strategies as st

from currantwell.fleet.fleet_state import (
    FleetState,
    PutConfiguration,
    SetOwner,
    encode_command,
)
from tests.fleet.builders import a_configuration, a_route, an_ownership


def put(state, version, **route):
    configuration = a_configuration(version, a_route(**route))
    return state.apply(1, encode_command(PutConfiguration(configuration)))


@given(st.lists(st.tuples(st.integers(1, 6), st.sampled_from(["1", "2"]))))
def test_the_highest_version_keeps_its_first_content(changes):
    state = FleetState()
    first = {}
    for version, team in changes:
        before = state.configuration.version
        put(state, version, team=team)
        if version > before:
            first[version] = team
        assert state.configuration.version == max(before, version)
        assert state.configuration.routes[0].team == first[state.configuration.version]


def test_only_the_next_epoch_counts():
    state = FleetState()
    for owned in (an_ownership(1), an_ownership(1, "b"), an_ownership(3, "c")):
        state.apply(1, encode_command(SetOwner(owned)))
    assert state.owner(an_ownership().group) == an_ownership(1)


def test_a_snapshot_rebuilds_the_state():
    state, other = FleetState(), FleetState()
    put(state, 3)
    state.apply(2, encode_command(SetOwner(an_ownership(1))))
    other.restore(state.snapshot())
    assert other.configuration == state.configuration
    assert list(other.ownerships) == list(state.ownerships)
