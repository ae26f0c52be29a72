import dataclasses
from pathlib import Path

import pytest
from click.testing import CliRunner

from currantwell.cli import main
from currantwell.errors import SettingsInvalid
from currantwell.settings import HostSettings, load_settings, show_settings
from tests.builders import settings_file

SAMPLES = Path(__file__).parent.parent / "examples" / "settings"
HEAD = "[host]\nid = a-1\ndata_centre = valdres\n"

# An invalid file, and the problem that must be reported for each of its lines.
BAD = """\
[host]
id = b ad
drain_timeout_s = 30 s
endpoint_lease_ms = 8
http_port = 99999
answer_kept_s = nan
copies = 2
address = 10.0.0.1
address = 10.0.0.2
peer_address = 127.0.0.1:9100
key_file = missing.key
tokens_file = missing.ini
data_folder = host.ini
data_centres = valdres hallingdal
nonsense
[peers]
b-2 = oslo 127.0.0.1:9100
b-3 = hallingdal
[dispatch]
speed = 3
"""
EXPECTED_PROBLEMS = {
    1: "data_centre: is missing",
    2: "not a valid name",
    3: "'30 s' carries a unit; write a plain number of seconds, 0 to 3600",
    4: "unknown key; did you mean endpoint_lease_s?",
    5: "99999 is out of range; write a plain whole number of the port, 0 to 65535",
    6: "nan is out of range",
    7: "2 copies need 1 peer",
    9: "address: is given twice, first in line 8",
    11: "missing.key",
    12: "missing.ini",
    13: "is not a folder",
    15: "is not 'key = value'",
    17: "oslo is not among data_centres",
    18: "is not a data centre and an address",
    19: "[dispatch]: unknown section",
}


def problems(path):
    with pytest.raises(SettingsInvalid) as caught:
        load_settings(path)
    return caught.value.problems


def test_all_problems_are_reported_together_with_their_lines(tmp_path):
    path = settings_file(tmp_path, BAD)
    reported = problems(path)
    for line, text in EXPECTED_PROBLEMS.items():
        prefix = f"{path}:{line}: "
        assert any(p.startswith(prefix) and text in p for p in reported), (
            line,
            reported,
        )
    lines = {int(p.removeprefix(f"{path}:").split(":")[0]) for p in reported}
    assert lines == set(EXPECTED_PROBLEMS)


@pytest.mark.parametrize(
    ("extra_settings", "problem"),
    [
        ("address = 10.0.0.1", "there is no tokens_file"),
        ("peer_address = 127.0.0.1:9100", "key_file: is missing"),
        ("[peers]\na-2 = valdres 127.0.0.1:1", "peer_address: is missing"),
        ("[peers]\na-1 = valdres 127.0.0.1:1", "is this host itself"),
        (
            "peer_address = 127.0.0.1:1\n[peers]\na-2 = valdres 127.0.0.1:1",
            "is the address of this host too",
        ),
        ("copies = 2\n[peers]\na-2 = oslo 127.0.0.1:1", "2 copies need 1 peer"),
    ],
)
def test_contradictions_are_refused(tmp_path, extra_settings, problem):
    assert any(
        problem in p for p in problems(settings_file(tmp_path, HEAD + extra_settings))
    )


def test_a_short_key_is_refused(tmp_path):
    path = settings_file(tmp_path, HEAD + "key_file = hosts.key")
    (tmp_path / "hosts.key").write_text("short")
    assert any("fewer than 32" in p for p in problems(path))


@pytest.mark.parametrize("text", ["", "id = 1\n", "[host\n"])
def test_a_file_without_sections_is_refused(tmp_path, text):
    assert problems(settings_file(tmp_path, text))


def test_effective_values_have_their_origin(tmp_path):
    path = settings_file(tmp_path, HEAD + "drain_timeout_s = 5\n")
    shown = {value.key: value for value in show_settings(path)}
    assert shown["drain_timeout_s"].origin == f"{path}:4"
    assert shown["drain_timeout_s"].value == "5.0"
    assert shown["endpoint_lease_s"].origin == "default"
    names = {field.name for field in dataclasses.fields(HostSettings)}
    assert shown.keys() == (names - {"host", "peers"}) | {"id"}


def test_paths_are_relative_to_the_folder_of_the_file(tmp_path):
    path = settings_file(tmp_path, HEAD + "data_folder = state\n")
    assert load_settings(path).data_folder == tmp_path / "state"


@pytest.mark.parametrize(
    ("cooperative", "hosts"), [("prairie-trailworks", 7), ("fjellstad", 6)]
)
def test_the_sample_settings_are_valid_and_consistent(tmp_path, cooperative, hosts):
    files = sorted((SAMPLES / cooperative).glob("*.ini"))
    loaded = [load_settings(settings_file(tmp_path, f.read_text())) for f in files]
    assert len(loaded) == hosts
    expected_hosts = {s.host: (s.data_centre, s.peer_address) for s in loaded}
    for s in loaded:
        peers = {h: (p.data_centre, p.address) for h, p in s.peers.items()}
        assert peers | {s.host: expected_hosts[s.host]} == expected_hosts
    assert len({s.data_centre for s in loaded}) == 3
    assert len({s.bodies_in_flight_bytes for s in loaded}) > 1


def test_the_command_line_creates_a_key_checks_and_shows_settings(tmp_path):
    path = settings_file(tmp_path, HEAD + "key_file = new.key\n")
    run = CliRunner().invoke
    assert run(main, ["settings", "check", str(path)]).exit_code == 2
    key = str(tmp_path / "new.key")
    assert run(main, ["settings", "key", key]).exit_code == 0
    assert run(main, ["settings", "key", key]).exit_code == 2
    assert (tmp_path / "new.key").stat().st_mode & 0o077 == 0
    assert run(main, ["settings", "check", str(path)]).exit_code == 0
    shown = run(main, ["settings", "show", "--json", str(path)])
    assert f'"{path}:2"' in shown.output
