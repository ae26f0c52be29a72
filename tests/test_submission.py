import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from currantwell.codes import ResultCode
from currantwell.errors import InvalidRequest
from currantwell.ids import job_id
from currantwell.records import JobAccepted, decode_record, encode_record
from currantwell.submission import MAX_TASKS, decode_submission, digest_of
from tests.builders import job_body


def task(**changes):
    return [{"kind": "receipt"} | changes]


def raw(payload: bytes) -> bytes:
    return job_body(tasks=task(payload="@")).replace(b'"@"', payload)


BAD = {
    "empty": (b"", "body", ResultCode.BAD_BODY),
    "half": (job_body()[:-3], "body", ResultCode.BAD_BODY),
    "no UTF-8": (b'{"key":"\xff\xfe"}', "body", ResultCode.BAD_BODY),
    "lone surrogate": (raw(b'"\\ud800"'), "body", ResultCode.BAD_BODY),
    "an array": (b"[]", "body", ResultCode.BAD_FIELD),
    "NaN": (raw(b"NaN"), "body", ResultCode.BAD_BODY),
    "nested too deep to parse": (raw(b"[" * 200_000), "body", ResultCode.BAD_BODY),
    "nested": (
        raw(b"[" * 80 + b"]" * 80),
        "tasks[0].payload",
        ResultCode.BAD_FIELD,
    ),
    "integer": (raw(b"1" + b"0" * 30), "tasks[0].payload", ResultCode.BAD_FIELD),
    "unknown": (job_body(colour=1), "colour", ResultCode.BAD_FIELD),
    "unknown in task": (
        job_body(tasks=task(colour=1)),
        "tasks[0].colour",
        ResultCode.BAD_FIELD,
    ),
    "missing": (job_body(team=None), "team", ResultCode.BAD_FIELD),
    "type": (job_body(deadline_s="soon"), "deadline_s", ResultCode.BAD_FIELD),
    "no key": (job_body(key="k1"), "key", ResultCode.BAD_KEY),
    "team": (job_body(team="a/b"), "team", ResultCode.BAD_FIELD),
    "no tasks": (job_body(tasks=[]), "tasks", ResultCode.BAD_FIELD),
    "many tasks": (
        job_body(tasks=task() * (MAX_TASKS + 1)),
        "tasks",
        ResultCode.BAD_FIELD,
    ),
    "deadline": (job_body(deadline_s=0), "deadline_s", ResultCode.BAD_FIELD),
    "rule": (
        job_body(tasks=task(restart="always")),
        "tasks[0].restart",
        ResultCode.BAD_FIELD,
    ),
}
for _name, _value in {
    "run_time_s": -1,
    "processors": -0.5,
    "memory_mb": 10**12,
    "accelerators": -1,
    "data_centre": "",
    "endpoint": "a b",
    "kind": "x" * 200,
}.items():
    _body = job_body(tasks=task(**{_name: _value}))
    BAD[_name] = (_body, f"tasks[0].{_name}", ResultCode.BAD_FIELD)


@pytest.mark.parametrize("name", BAD)
def test_bad_input_is_refused_with_the_name_of_its_field(name):
    body, field, code = BAD[name]
    with pytest.raises(InvalidRequest) as caught:
        decode_submission(body)
    assert (caught.value.field, caught.value.code) == (field, code)
    assert 0 < len(caught.value.reason) < 300


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**25), 10**25)
    | st.floats()
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
FIELDS = ("key", "team", "tasks", "deadline_s", "more")
TASK_FIELDS = ("kind", "payload", "run_time_s", "memory_mb", "restart", "more")


def check(body):
    try:
        submission = decode_submission(body)
    except InvalidRequest as error:
        assert error.reason
        return
    record = JobAccepted(
        job_id(submission.team, submission.key),
        digest_of(submission),
        submission,
        0.0,
        1.0,
    )
    assert decode_record(encode_record(record)) == record


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.dictionaries(st.sampled_from(FIELDS), JSON, max_size=2),
    st.dictionaries(st.sampled_from(TASK_FIELDS), JSON, max_size=2),
)
def test_arbitrary_values_are_refused_or_can_be_stored(fields, task_fields):
    body = {"key": "valdres:k1", "team": "drivers"} | fields
    body.setdefault("tasks", [{"kind": "receipt"} | task_fields])
    try:
        encoded = msgspec.json.encode(body)
    except (msgspec.EncodeError, OverflowError, UnicodeError):
        return
    check(encoded)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.integers(0, 80), st.integers(0, 80), st.binary(max_size=6))
def test_a_damaged_body_is_refused_or_can_be_stored(start, length, inserted):
    body = job_body(tasks=task(payload={"a": [1, "b"]}))
    check(body[:start] + inserted + body[start + length :])
