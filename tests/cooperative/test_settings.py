"""Decoding of the platform's settings file."""

import pytest

from cooperative.settings import SETTINGS_VARIABLE, decode_settings, load_settings
from currantwell.errors import SettingsInvalid

TEXT = """node=frontend-valdres-1
zone=valdres
zones.valdres=austlandet
zones.hallingdal=austlandet
ip_address=10.1.0.13
listen.frontend=10.1.0.13:8161
listen.readiness=10.1.0.13:8167
internal_ports=7720,7735
seeds=10.1.0.16:8166,10.2.0.31:8166
bootstrap=true
bounds.hold_max_ms=1000
bounds.grace_s=6
a.key.of.tomorrow=1
"""


def test_a_file_is_decoded_into_settings():
    settings = decode_settings(TEXT)
    assert settings.host == "frontend-valdres-1"
    assert settings.data_centres == ("valdres", "hallingdal")
    assert settings.control_seeds == ("10.1.0.16", "10.2.0.31")
    assert settings.agreement_address == "10.1.0.13:7720"
    assert settings.channel_address == "10.1.0.13:7721"
    assert settings.max_lease_s == 1.0
    assert settings.first_start
    assert settings.data_folder is None


@pytest.mark.parametrize("key", ["node", "zone", "ip_address", "internal_ports"])
def test_a_missing_value_is_named(key):
    lines = [line for line in TEXT.splitlines() if not line.startswith(key + "=")]
    with pytest.raises(SettingsInvalid, match=key):
        decode_settings("\n".join(lines))


def test_a_malformed_number_is_refused():
    with pytest.raises(SettingsInvalid):
        decode_settings(TEXT.replace("hold_max_ms=1000", "hold_max_ms=soon"))


@pytest.mark.parametrize("data", [None, TEXT.encode("utf-16")])
def test_a_file_that_cannot_be_read_is_named(tmp_path, monkeypatch, data):
    path = tmp_path / "settings"
    if data is not None:
        path.write_bytes(data)
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    with pytest.raises(SettingsInvalid, match=str(path)):
        load_settings()
