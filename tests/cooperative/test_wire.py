"""The platform's bodies: decoded into currantwell's types, refused if invalid."""

import json
import time

import msgspec
import pytest

from cooperative.operator_api import MAX_CONFIGURATION_BYTES
from cooperative.wire import (
    decode_configuration,
    decode_heartbeat,
    decode_job,
    dependency_waves,
    step_tasks,
)
from currantwell.errors import InvalidRequest
from currantwell.fleet.fleet_state import PutConfiguration, encode_command
from currantwell.raft_agreement import MAX_COMMAND_BYTES
from currantwell.submission import RestartRule

ROUTE = {
    "name": "r-1",
    "host": "a.example",
    "path_prefix": "/p/",
    "service": "board",
    "timeout_ms": 1500,
    "target_duration_ms": 60,
    "priority": 2,
    "max_attempts": 4,
    "stretch": 1.6,
}
CONFIGURATION = {"version": 7, "routes": [ROUTE], "services": [{"name": "board"}]}
HEARTBEAT = {
    "service": "board",
    "address": "10.1.0.9:8080",
    "zone": "valdres",
    "slots": 8,
    "state": "ready",
    "sequence": 4,
    "capacity": {"cpu_millicores": 16000, "memory_request_mb": 32768, "gpus": 0},
    "labels": ["a", "r1-3"],
    "born": 1_700_000_000_000,
}
JOB = {"task_spec": "text", "best_effort": True, "steps": [{"count": 2}]}


def encoded(body, **changes):
    return json.dumps({**body, **changes}).encode()


def test_a_configuration_keeps_the_original_document():
    body = encoded(CONFIGURATION)
    configuration = decode_configuration(body)
    (route,) = configuration.routes
    assert configuration.source == body
    assert (configuration.version, route.timeout_s, route.max_failures) == (7, 1.5, 4)


@pytest.mark.parametrize(
    "body",
    [
        encoded(CONFIGURATION)[:-20],
        encoded(CONFIGURATION, routes=[ROUTE, ROUTE]),
        encoded(CONFIGURATION, routes=[{**ROUTE, "service": "other"}]),
        encoded(CONFIGURATION, routes=[{**ROUTE, "timeout_ms": 0}]),
        encoded(CONFIGURATION, version=0),
        encoded(CONFIGURATION, services=None),
        b"[" * 4_000_000,
        b"\xff\xfe",
        b"",
    ],
    ids=[
        "cut short",
        "same place",
        "unknown service",
        "no timeout",
        "no version",
        "no services",
        "brackets",
        "no text",
        "empty",
    ],
)
def test_an_invalid_configuration_is_refused(body):
    with pytest.raises(InvalidRequest):
        decode_configuration(body)


def test_a_heartbeat_is_decoded_into_a_report():
    report = decode_heartbeat("i-1", encoded(HEARTBEAT, state="draining"))
    announcement = report.announcement
    assert (announcement.endpoint, announcement.url, announcement.processors) == (
        "i-1",
        "http://10.1.0.9:8080",
        16.0,
    )
    assert announcement.draining
    assert announcement.rack == "r1-3"
    assert report.sort_key() == (1_700_000_000_000, 4)


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "dancing"},
        {"address": "somewhere"},
        {"capacity": "much"},
        {"sequence": "four"},
        {"slots": -1},
    ],
    ids=str,
)
def test_an_invalid_heartbeat_is_refused(changes):
    with pytest.raises(InvalidRequest):
        decode_heartbeat("i-1", encoded(HEARTBEAT, **changes))


@pytest.mark.parametrize(
    "steps",
    [
        [],
        [{"count": 0}],
        [{"count": -3}],
        [{"count": 10_000_000}],
        [{"count": 1, "after": [0]}],
        [{"count": 1, "after": [7]}],
        [{"count": 1, "cpu_millicores": -1}],
        "many",
    ],
    ids=str,
)
def test_an_invalid_job_is_refused(steps):
    with pytest.raises(InvalidRequest):
        decode_job(encoded(JOB, steps=steps))


@pytest.mark.parametrize(
    "changes",
    [
        {"best_effort": False},
        {"long_running": True},
        {"repeat_count": 3},
        {"steps": [{"count": 2, "gang_scheduled": True}]},
        {"steps": [{"count": 2, "fills": True}]},
    ],
    ids=str,
)
def test_unsupported_features_are_named(changes):
    assert decode_job(encoded(JOB)).unsupported() is None
    assert decode_job(encoded(JOB, **changes)).unsupported()


def test_placement_constraints_of_a_step_are_kept():
    (route,) = decode_configuration(encoded(CONFIGURATION)).routes
    constraints = {"required_label": "b", "affinity": "r1-3", "max_per_server": 1}
    job = decode_job(encoded(JOB, steps=[{"count": 2, **constraints}]))
    assert job.unsupported() is None
    first, second = step_tasks(job, 0, "5c0e", route)
    assert (first.label, first.rack, first.max_per_endpoint) == ("b", "r1-3", 1)
    assert first.spread == second.spread == "5c0e.0"


def test_the_labels_of_a_heartbeat_are_kept():
    body = encoded(HEARTBEAT, labels=["b", "r1-3"])
    assert decode_heartbeat("i-1", body).announcement.labels == ("b", "r1-3")


def test_steps_run_in_waves_after_their_dependencies():
    steps = [{"count": 1}, {"count": 1, "after": [0]}, {"count": 1}]
    job = decode_job(encoded(JOB, steps=steps))
    assert dependency_waves(job.steps) == [[0, 2], [1]]


def test_tasks_have_the_names_of_the_platform():
    (route,) = decode_configuration(encoded(CONFIGURATION)).routes
    first, second = step_tasks(decode_job(encoded(JOB)), 0, "5c0e", route)
    assert first.payload == ("5c0e.0.0.0", "text")
    assert second.payload == ("5c0e.0.0.1", "text")
    assert first.restart is RestartRule.IF_OVER
    assert (first.pool, first.max_failures) == ("board", 4)


@pytest.mark.parametrize("field", ["routes", "services"])
def test_the_command_of_the_largest_configuration_is_accepted(field):
    """Short items grow the most, as fields with defaults may be left out."""
    body = {"version": 1, "routes": [], "services": [{"name": "s"}]}
    route = {"name": "", "host": "", "path_prefix": "", "service": "s", "timeout_ms": 1}
    items = body[field]
    size = len(json.dumps(body, separators=(",", ":")))
    while size < MAX_CONFIGURATION_BYTES - 100:
        name = f"{len(items):x}"
        item = {**route, "path_prefix": name} if field == "routes" else {"name": name}
        items.append(item)
        size += len(json.dumps(item, separators=(",", ":"))) + 1
    source = json.dumps(body, separators=(",", ":")).encode()
    assert len(source) <= MAX_CONFIGURATION_BYTES
    command = encode_command(PutConfiguration(decode_configuration(source)))
    assert len(command) <= MAX_COMMAND_BYTES


HUGE = int("9" * 4_000)
DAY_MS = 86_400_000


@pytest.mark.parametrize("value", [2**53 + 1, 2**64, 2**70, HUGE, -1])
@pytest.mark.parametrize("field", ["sequence", "born", "slots"])
def test_a_heartbeat_with_an_integer_out_of_range_is_refused(field, value):
    """It was accepted, and its first encoding ended the process."""
    with pytest.raises(InvalidRequest):
        decode_heartbeat("i-1", encoded(HEARTBEAT, **{field: value}))


@pytest.mark.parametrize("value", [2**70, HUGE, -1])
@pytest.mark.parametrize("field", ["cpu_millicores", "memory_request_mb", "gpus"])
def test_a_capacity_out_of_range_is_refused(field, value):
    capacity = {**HEARTBEAT["capacity"], field: value}
    with pytest.raises(InvalidRequest):
        decode_heartbeat("i-1", encoded(HEARTBEAT, capacity=capacity))


@pytest.mark.parametrize(
    "changes",
    [
        {"address": "10.1.0.9:0"},
        {"address": "10.1.0.9:99999"},
        {"address": "10.1.0.9:-1"},
        {"address": "10.1.0.9:" + "9" * 5_000},
        {"address": "10.1.0.9:8080\n"},
        {"address": "10.1.0.9:80\n80"},
        {"address": "10.1.0.9:8080\r\nx: y"},
        {"address": "10.1.0.9:8080/path"},
        {"address": "user@10.1.0.9:8080"},
        {"address": "10.1.0.9"},
        {"zone": ""},
        {"zone": "val\ndres"},
        {"zone": "v" * 10_000},
        {"service": ""},
        {"service": "board\n"},
        {"labels": ["a", "r1\n"]},
    ],
    ids=lambda changes: str(changes)[:40],
)
def test_a_heartbeat_that_names_no_usable_worker_is_refused(changes):
    with pytest.raises(InvalidRequest):
        decode_heartbeat("i-1", encoded(HEARTBEAT, **changes))


def test_a_start_time_far_in_the_future_is_refused():
    """It would hide the heartbeats of the worker that has the id."""
    now_ms = int(time.time() * 1000)
    decode_heartbeat("i-1", encoded(HEARTBEAT, born=now_ms + DAY_MS // 2))
    with pytest.raises(InvalidRequest) as caught:
        decode_heartbeat("i-1", encoded(HEARTBEAT, born=now_ms + 2 * DAY_MS))
    assert caught.value.field == "born"


def test_a_heartbeat_with_values_at_their_limits_can_be_encoded_again():
    capacity = {"cpu_millicores": 10**8, "memory_request_mb": 2**40, "gpus": 10_000}
    body = encoded(HEARTBEAT, sequence=2**53, slots=10_000, capacity=capacity)
    msgspec.msgpack.encode(decode_heartbeat("i-1", body))


@pytest.mark.parametrize("value", [2**64, 2**70, HUGE, -HUGE])
@pytest.mark.parametrize(
    "field", ["timeout_ms", "target_duration_ms", "priority", "max_attempts", "stretch"]
)
def test_a_route_with_a_number_out_of_range_is_refused(field, value):
    with pytest.raises(InvalidRequest):
        decode_configuration(encoded(CONFIGURATION, routes=[{**ROUTE, field: value}]))


@pytest.mark.parametrize("value", [2**64, 2**70, HUGE])
def test_a_configuration_with_a_number_out_of_range_is_refused(value):
    """Encoding its command failed, which was answered with 500 at each try."""
    with pytest.raises(InvalidRequest):
        decode_configuration(encoded(CONFIGURATION, version=value))
    with pytest.raises(InvalidRequest):
        decode_configuration(encoded(CONFIGURATION, limits={"max_body_bytes": value}))


@pytest.mark.parametrize("value", [2**64, 2**70, HUGE, -1])
@pytest.mark.parametrize(
    "field",
    ["cpu_millicores", "memory_request_mb", "gpus", "estimated_ms", "max_per_server"],
)
def test_a_step_with_a_number_out_of_range_is_refused(field, value):
    with pytest.raises(InvalidRequest):
        decode_job(encoded(JOB, steps=[{"count": 1, field: value}]))


@pytest.mark.parametrize("decode", [decode_configuration, decode_job])
@pytest.mark.parametrize("kind", [b"[", b'{"a":'])
def test_a_body_that_is_nested_too_deep_is_refused(decode, kind):
    body = b'{"odd":' + kind * 100_000
    with pytest.raises(InvalidRequest):
        decode(body)
