import base64

import pytest
from click.testing import CliRunner

from currantwell.auth import OpenAuthenticator, load_tokens, token_digest
from currantwell.cli import main
from currantwell.errors import SettingsInvalid

TOKENS = f"""\
[teams]
valdres-drivers = {token_digest("d1")} {token_digest("d2")}
classers = {token_digest("c")}
[operators]
kari = {token_digest("k")}
"""


def bearer(token):
    return {"authorization": f"Bearer {token}"}


@pytest.fixture
def tokens(tmp_path):
    path = tmp_path / "tokens.ini"
    path.write_text(TOKENS)
    return path


def test_a_token_authenticates_its_team_only(tokens):
    auth = load_tokens(tokens)
    for token in ("d1", "d2"):
        assert auth.team(bearer(token), None) == "valdres-drivers"
        assert auth.team(bearer(token), "valdres-drivers") == "valdres-drivers"
        assert auth.team(bearer(token), "classers") is None
    for headers in ({}, bearer("x"), bearer("k"), {"authorization": "Digest d1"}):
        assert auth.team(headers, "valdres-drivers") is None
        assert auth.team(headers, None) is None


def test_operators_authenticate_with_their_own_tokens(tokens):
    auth = load_tokens(tokens)
    assert auth.operator(bearer("k")) == "kari"
    basic = base64.b64encode(b"anyone:k").decode()
    assert auth.operator({"authorization": f"Basic {basic}"}) == "kari"
    for headers in ({}, bearer("d1"), bearer(""), {"authorization": "Basic ?"}):
        assert auth.operator(headers) is None


def test_endpoints_need_tokens_if_the_section_exists(tokens):
    assert load_tokens(tokens).endpoint({})
    tokens.write_text(TOKENS + f"[endpoints]\nshed = {token_digest('e')}\n")
    auth = load_tokens(tokens)
    assert auth.endpoint(bearer("e"))
    assert not auth.endpoint({})
    assert not auth.endpoint(bearer("d1"))


def test_an_open_host_accepts_every_sender():
    assert OpenAuthenticator().team({}, "classers") == "classers"
    assert OpenAuthenticator().operator({}) == "local"


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("[teams]\na = 12ab", "is not a digest"),
        (
            f"[teams]\na = {token_digest('x')}\nb = {token_digest('x')}",
            "the token of a",
        ),
        ("[team]", "unknown section"),
        ("a = 1", "can't be read"),
    ],
)
def test_an_invalid_file_is_refused(tokens, text, problem):
    tokens.write_text(text)
    with pytest.raises(SettingsInvalid, match=problem):
        load_tokens(tokens)


def test_the_command_line_creates_a_line_for_the_file(tokens):
    output = CliRunner().invoke(main, ["token", "new", "hallingdal"]).output
    token, line = (text.split(": ")[1].strip() for text in output.splitlines())
    tokens.write_text(f"[teams]\n{line}\n")
    assert load_tokens(tokens).team(bearer(token), None) == "hallingdal"
    assert token not in line
