import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from currantwell import agreed_state
from currantwell.agreed_state import AgreedState
from currantwell.changes import (
    ActivatePreset,
    DrainEndpoint,
    PutPreset,
    RemoveHost,
    SetQuota,
    check_command,
    encode_command,
)
from currantwell.codes import ResultCode
from currantwell.errors import InvalidRequest
from currantwell.presets import PEAK, Preset
from currantwell.quotas import DEFAULT_QUOTA, Quota
from currantwell.views import View
from tests.builders import apply, change, registration, set_preset, view


def activation(version):
    return ActivatePreset(version, "h-1", "all hosts acknowledged", 2.0)


def test_a_preset_is_in_force_after_both_phases():
    state = AgreedState()
    assert apply(state, set_preset("peak")).version == 2
    assert state.image.active.preset.name == "ordinary"
    assert apply(state, activation(2)).code is ResultCode.ACCEPTED
    assert state.image.active.preset == PEAK
    assert state.image.proposed is None


def test_of_equal_versions_one_wins_and_the_other_gets_the_winner():
    state = AgreedState()
    apply(state, set_preset("peak", id="c-1", author="ada"))
    lost = apply(state, set_preset("maintenance", id="c-2", author="bo"))
    assert lost.code is ResultCode.VERSION_CONFLICT
    assert (lost.winner.author, lost.winner.change, lost.version) == ("ada", "c-1", 2)
    assert state.image.proposed.preset == PEAK


def test_a_resend_gets_the_first_result_despite_changes_between():
    state = AgreedState()
    first = apply(state, set_preset("peak"))
    apply(state, activation(2), set_preset("ordinary", 2, "c-2"), activation(3))
    assert apply(state, set_preset("peak", unix_s=999.0)) == first
    assert state.image.active.version == 3
    other = apply(state, set_preset("maintenance", id="c-1"))
    assert other.code is ResultCode.KEY_REUSED


def test_a_resend_older_than_memory_is_refused(monkeypatch):
    monkeypatch.setattr(agreed_state, "MAX_REMEMBERED_CHANGES", 2)
    state = AgreedState()
    apply(state, set_preset("peak"), activation(2))
    for version in range(1, 4):
        drain = DrainEndpoint(change(version, f"d-{version}"), "e-1", version % 2 == 1)
        apply(state, drain)
    assert len(state.image.remembered) == 2
    assert apply(state, set_preset("peak")).code is ResultCode.VERSION_CONFLICT


def test_no_second_preset_while_one_takes_effect():
    state = AgreedState()
    apply(state, set_preset("peak"))
    refused = apply(state, set_preset("maintenance", 2, "c-2"))
    assert (refused.code, refused.winner.change) == (ResultCode.VERSION_CONFLICT, "c-1")
    assert apply(state, activation(9)).code is ResultCode.VERSION_CONFLICT


def test_the_preset_in_force_can_not_be_altered_under_its_name():
    state = AgreedState()
    own = Preset("harvest", 2.0, 0.5, 0, 0.0)
    apply(state, PutPreset(change(1, "p-1"), own), set_preset("harvest", 2, "c-2"))
    altered = msgspec.structs.replace(own, queue_s=9.0)
    for version, phase in ((3, None), (3, activation(3))):
        if phase:
            apply(state, phase)
        put = PutPreset(change(version, f"p-{phase}"), altered)
        assert apply(state, put).code is ResultCode.BAD_FIELD
    put = PutPreset(change(3, "p-9"), msgspec.structs.replace(PEAK, queue_s=9.0))
    assert apply(state, put).code is ResultCode.BAD_FIELD


def test_quotas_and_drains_have_versions_of_their_own():
    state = AgreedState()
    apply(state, set_preset("peak"))
    quota = SetQuota(change(1, "q-1"), "crew", Quota(2.0, 10))
    assert apply(state, quota).version == 2
    assert state.quota("crew") == Quota(2.0, 10)
    assert state.quota("others") == DEFAULT_QUOTA
    apply(state, DrainEndpoint(change(1, "d-1"), "e-1"))
    assert state.image.drained == {"e-1"}
    apply(state, DrainEndpoint(change(2, "d-2"), "e-1", False))
    assert state.image.drained == set()


def test_only_the_view_after_the_newest_is_taken_and_from_its_members():
    state = AgreedState()
    apply(state, registration("h-1"), registration("h-2"), registration("h-3"))
    accepted = [view(1, "h-1", "h-2"), view(2, "h-2"), view(2, "h-2")]
    for proposed in accepted:
        assert apply(state, proposed).code is ResultCode.ACCEPTED
    refused = [view(3, "h-1"), view(4, "h-2"), view(2, "h-1"), view(3, "h-2", "h-2")]
    for proposed in [*refused, view(3, "h-2", "stranger")]:
        assert apply(state, proposed).code is ResultCode.VERSION_CONFLICT
    assert state.image.views["valdres"].primary == "h-2"


def test_a_host_that_lost_its_disk_leaves_its_view():
    state = AgreedState()
    apply(state, registration("h-1"), registration("h-2"), view(1, "h-1", "h-2"))
    apply(state, registration("h-1"))
    assert state.image.views["valdres"].number == 1
    apply(state, registration("h-1", disk="d-2"))
    assert state.image.views["valdres"] == View("valdres", 2, "h-2")
    assert "without its disk" in state.audit.head.reason


def test_a_removed_host_stays_out_until_its_disk_is_another():
    state = AgreedState()
    apply(state, registration("h-1"), registration("h-2"), view(1, "h-1", "h-2"))
    apply(state, RemoveHost(change(1, "r-1"), "h-1"))
    assert state.image.views["valdres"] == View("valdres", 2, "h-2")
    assert apply(state, registration("h-1")).code is ResultCode.NOT_AUTHORIZED
    assert apply(state, registration("h-1", disk="d-2")).code is ResultCode.ACCEPTED
    last = apply(state, RemoveHost(change(2, "r-2"), "h-2"))
    assert last.code is ResultCode.BAD_FIELD


def test_the_audit_trail_says_who_what_from_what_to_what_why_and_outcome():
    state = AgreedState()
    apply(state, set_preset("peak"), set_preset("maintenance", id="c-2"), activation(2))
    won, lost, repair = state.audit.entries
    assert (won.author, won.kind, won.reason) == ("ada", "set_preset", "dawn")
    assert '"ordinary"' in won.before
    assert '"peak"' in won.after
    assert lost.outcome is ResultCode.VERSION_CONFLICT
    assert (repair.author, repair.reason) == ("h-1", "all hosts acknowledged")


def test_an_undecodable_command_is_refused_and_changes_nothing():
    state = AgreedState()
    verdict = msgspec.msgpack.decode(state.apply(1, b"\xc1"))
    assert verdict["code"] == ResultCode.BAD_BODY
    assert (state.image.index, state.audit.entries) == (1, [])


@pytest.mark.parametrize(
    "command",
    [
        set_preset("no such name!"),
        set_preset(reason=" "),
        set_preset(author=""),
        PutPreset(change(), Preset("own", 0.1, 0.5, 0, 0.0)),
        SetQuota(change(), "crew", Quota(0.0, 1)),
        SetQuota(change(), "crew", Quota(1.0, -1)),
    ],
)
def test_malformed_changes_are_refused_before_they_are_proposed(command):
    with pytest.raises(InvalidRequest):
        check_command(command)


steps = st.sampled_from(
    [
        *(registration(host, disk=disk) for host in ("h-1", "h-2") for disk in "de"),
        *(set_preset("peak", version, f"c-{version}") for version in (1, 2, 3)),
        *(activation(version) for version in (2, 3, 4)),
        *(view(number, host) for number in (1, 2) for host in ("h-1", "h-2")),
        *(RemoveHost(change(version, f"r-{version}"), "h-1") for version in (1, 2)),
    ]
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(steps, max_size=15), st.integers(0, 15))
def test_a_restored_state_goes_on_alike(commands, cut):
    original, restored = AgreedState(), AgreedState()
    for index, command in enumerate(commands):
        data = encode_command(command)
        if index == cut:
            restored.restore(original.snapshot())
        expected = original.apply(index + 1, data)
        if index >= cut:
            assert restored.apply(index + 1, data) == expected
    if cut < len(commands):
        assert restored.snapshot() == original.snapshot()
