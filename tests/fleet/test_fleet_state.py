"""The replicated state: versions never decrease and never change their content."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantwell.fleet.fleet_state import (
    ACCEPTED,
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


ROUTE_OF_FIRST_RELEASE = {
    "team": "r-1",
    "host": "a.example",
    "path_prefix": "/p/",
    "service": "board",
    "timeout_s": 1.5,
    "target_s": 0.06,
    "stretch": 1.6,
    "priority": 2,
    "max_failures": 4,
}
CONFIGURATION_OF_FIRST_RELEASE = {
    "version": 7,
    "routes": [ROUTE_OF_FIRST_RELEASE],
    "services": [{"name": "board", "guards_capacity": True}],
    "max_body_bytes": 262_144,
    "source": b"{}",
}


def test_commands_and_snapshots_of_the_first_release_are_applied():
    """They stand in the journals of hosts that are upgraded."""
    group = msgspec.to_builtins(an_ownership().group)
    owned = {"group": group, "epoch": 1, "host": "a", "incarnation": "i"}
    commands = [
        {"type": "put", "configuration": CONFIGURATION_OF_FIRST_RELEASE},
        {"type": "owner", "ownership": owned},
    ]
    state = FleetState()
    for index, command in enumerate(commands):
        assert state.apply(index, msgspec.msgpack.encode(command)) == ACCEPTED
    image = {"configuration": CONFIGURATION_OF_FIRST_RELEASE, "ownerships": [owned]}
    restored = FleetState()
    restored.restore(msgspec.msgpack.encode(image))
    for each in (state, restored):
        expected = CONFIGURATION_OF_FIRST_RELEASE
        assert msgspec.to_builtins(each.configuration, builtin_types=(bytes,)) == {
            **expected,
            "routes": tuple(expected["routes"]),
            "services": tuple(expected["services"]),
        }
        assert [owner.epoch for owner in each.ownerships] == [1]


def test_a_command_that_is_not_known_is_not_skipped():
    """Else this host would go on with another state than those that know it."""
    with pytest.raises(msgspec.DecodeError):
        FleetState().apply(1, msgspec.msgpack.encode({"type": "later"}))
