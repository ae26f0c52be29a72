import ast
from pathlib import Path

import pytest

from currantwell import events
from currantwell.codes import MEANINGS, ResultCode
from currantwell.reference import event_table, result_code_table

ROOT = Path(__file__).parent.parent
SOURCES = sorted((ROOT / "currantwell").rglob("*.py"))
# Fields that could contain payloads of callers or secrets.
SECRET_FIELDS = {"payload", "value", "results", "body", "token", "tokens", "headers"}
SECRET_FIELDS |= {"submission", "spec", "key_bytes", "secret"}


@pytest.mark.parametrize(
    ("name", "table"),
    [("RESULT_CODES.md", result_code_table()), ("EVENTS.md", event_table())],
)
def test_documents_contain_the_tables_of_the_code(name, table):
    text = (ROOT / "docs" / name).read_text()
    assert text.endswith("<!-- table -->\n" + table), "run tools/write_tables.py"


def test_every_code_has_a_meaning():
    assert MEANINGS.keys() == set(ResultCode)


def log_calls(source):
    """Yield the event name and the field names of each `Event.log` call."""
    for node in ast.walk(ast.parse(source.read_text())):
        match node:
            case ast.Call(
                func=ast.Attribute(attr="log", value=ast.Attribute(attr=name)),
                keywords=keywords,
            ) if name.isupper():
                yield name, {keyword.arg for keyword in keywords}


def test_every_event_is_logged_without_payloads_or_secrets():
    calls = [call for source in SOURCES for call in log_calls(source)]
    for name, fields in calls:
        assert isinstance(getattr(events, name), events.Event)
        assert not fields & SECRET_FIELDS, name
    event_names = {
        name for name, value in vars(events).items() if isinstance(value, events.Event)
    }
    assert {name for name, _ in calls} <= event_names


def test_only_events_are_logged():
    for source in SOURCES:
        text = source.read_text()
        if source.name != "events.py":
            assert "logging.log(" not in text, source
            assert "logging.info(" not in text, source
