import json
import re
from pathlib import Path

import msgspec
import pytest

from currantwell import endpoint_protocol as protocol
from currantwell.errors import InvalidRequest

PAGE = (Path(__file__).parent.parent / "docs" / "ENDPOINTS.md").read_text()
EXAMPLES = re.findall(r"```json\n(.*?)```", PAGE, re.S)
EXAMPLES += re.findall(r"`(\{\"type\".*?\})`", PAGE, re.S)
MESSAGES = {
    "batch": protocol.StartBatch,
    "lease": protocol.LeaseGrant,
    "result": protocol.ResultLine,
    "reply": protocol.StartReply,
    "beat": protocol.Heartbeat,
    None: protocol.AdoptReply,
}


def parsed(example):
    return json.loads(
        example.replace("{...}", '{"job": "a/b:c", "task": 0, "attempt": 1}')
    )


def test_the_page_shows_every_message_once():
    assert sorted(str(parsed(e).get("type")) for e in EXAMPLES) == sorted(
        str(tag) for tag in MESSAGES
    )


@pytest.mark.parametrize("example", EXAMPLES)
def test_the_page_shows_every_field_of_a_message(example):
    fields = parsed(example)
    message = MESSAGES[fields.get("type")]
    msgspec.convert(fields, message)
    assert fields.keys() - {"type"} == set(message.__struct_fields__)


@pytest.mark.parametrize(
    "message", [protocol.Announcement, protocol.AnnouncementReply, protocol.Start]
)
def test_the_page_names_every_field_of_other_messages(message):
    for field in message.__struct_fields__:
        assert f"`{field}`" in PAGE or f'"{field}"' in PAGE, field


def test_the_page_names_the_defaults_of_an_announcement():
    for field in msgspec.structs.fields(protocol.Announcement):
        row = re.search(rf"^\| `{field.name}` \|[^|]*\|([^|]*)\|", PAGE, re.M)
        shown = row.group(1).strip().strip("`")
        if field.default is msgspec.NODEFAULT:
            assert shown == ""
        else:
            assert json.loads(shown) == json.loads(json.dumps(field.default))


def announced(**changes):
    fields = {
        "endpoint": "e1",
        "incarnation": "a",
        "url": "http://127.0.0.1:9000",
        "data_centre": "valdres",
    }
    return protocol.Announcement(**{**fields, **changes})


@pytest.mark.parametrize(
    "url",
    [
        "http://127.0.0.1:1",
        "http://127.0.0.1:65535/",
        "http://[::1]:9000",
        "http://[2001:db8::8a2e:370:7334]:9000",
    ],
)
def test_the_address_of_an_endpoint_is_accepted(url):
    assert protocol.check_announcement(announced(url=url)).url == url


@pytest.mark.parametrize(
    "url",
    [
        "http://127.0.0.1:0",
        "http://127.0.0.1:65536",
        "http://127.0.0.1:-1",
        "http://127.0.0.1:+80",
        "http://127.0.0.1:" + "9" * 5_000,
        "http://127.0.0.1:80\n80",
        "http://127.0.0.1:8080\n",
        "http://127.0.0.1:8080\r\nx: y",
        "\thttp://127.0.0.1:8080",
        "http://127.0.0.1:8080/path",
        "http://127.0.0.1:8080?query",
        "http://127.0.0.1:8080#part",
        "http://user@127.0.0.1:8080",
        "http://127.0.0.1",
        "http://[::1%\n]:9000",
        "http://[::1]9000",
        "http://127.0.0.999:80",
        "ftp://127.0.0.1:80",
    ],
    ids=lambda url: url[:40],
)
def test_an_address_that_no_client_can_use_is_refused(url):
    """It was accepted, and opening the connection ended the process."""
    with pytest.raises(InvalidRequest) as caught:
        protocol.check_announcement(announced(url=url))
    assert caught.value.field == "url"


@pytest.mark.parametrize(
    "changes",
    [
        {"data_centre": "a\nb"},
        {"data_centre": ""},
        {"pool": "a\nb"},
        {"pool": "p" * 10_000},
        {"processors": float("nan")},
        {"processors": float("inf")},
        {"used_processors": float("nan")},
    ],
    ids=lambda changes: str(changes)[:40],
)
def test_an_odd_announcement_is_refused(changes):
    with pytest.raises(InvalidRequest):
        protocol.check_announcement(announced(**changes))


@pytest.mark.parametrize("value", [2**64, 2**70, -1])
@pytest.mark.parametrize(
    ("message", "fields"),
    [
        (protocol.Heartbeat, {"beat": 1, "incarnation": "a", "running": 0}),
        (protocol.StartReply, {"incarnation": "a", "batch": 1}),
        (protocol.AttemptRef, {"job": "a/b:c", "task": 0, "attempt": 1}),
        (protocol.AdoptReply, {"incarnation": "a", "epoch": 1}),
        (
            protocol.ResultLine,
            {
                "seq": 1,
                "ref": {"job": "a/b:c", "task": 0, "attempt": 1},
                "code": 0,
                "run_s": 0.5,
                "queue_s": 0.5,
            },
        ),
    ],
)
def test_a_message_of_an_endpoint_has_no_number_out_of_range(message, fields, value):
    decoder = msgspec.json.Decoder(message)
    tag = message.__struct_config__.tag
    fields = fields if tag is None else {"type": tag, **fields}
    if "code" in fields:
        fields["code"] = int(next(iter(protocol.ResultCode)))
    decoder.decode(json.dumps(fields).encode())
    for field, usual in fields.items():
        if field != "code" and isinstance(usual, int | float):
            with pytest.raises(msgspec.ValidationError):
                decoder.decode(json.dumps(fields | {field: value}).encode())
