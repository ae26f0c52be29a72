import json
import re
from pathlib import Path

import msgspec
import pytest

from currantwell import endpoint_protocol as protocol

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
