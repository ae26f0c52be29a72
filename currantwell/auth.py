"""Authentication of teams, operators and endpoints by bearer tokens.

Tokens are long and random, so their unsalted SHA-256 digests can be stored in a file,
as ``<name> = <digest> ...`` in the sections ``teams``, ``operators`` and ``endpoints``.
Without a section ``endpoints``, any endpoint may announce itself.
"""

import base64
import binascii
import configparser
import hashlib
import secrets
from collections.abc import Mapping
from pathlib import Path
from typing import Protocol

from .errors import SettingsInvalid
from .ids import Operator, Team

__all__ = [
    "Authenticator",
    "OpenAuthenticator",
    "TokenAuthenticator",
    "load_tokens",
    "new_token",
    "token_digest",
]

TOKEN_BYTES = 32
DIGEST_CHARS = 64
TEAMS_SECTION = "teams"
OPERATORS_SECTION = "operators"
ENDPOINTS_SECTION = "endpoints"
SECTIONS = (TEAMS_SECTION, OPERATORS_SECTION, ENDPOINTS_SECTION)
LOCAL_OPERATOR = Operator("local")
_HEX = frozenset("0123456789abcdef")
_NO_SECTION = "\0"


class Authenticator(Protocol):
    """Identifies the sender of a request by its headers, whose names are lower case."""

    def is_authenticated(self, headers: Mapping[str, str]) -> bool:
        """Return whether the sender is a team, an operator or an endpoint."""
        ...

    def team(self, headers: Mapping[str, str], claimed: Team | None) -> Team | None:
        """Return the team that the sender may act for, or None.

        Parameters
        ----------
        headers : mapping
            The headers of the request.
        claimed : Team or None
            The team named in the request, if any.
        """
        ...

    def operator(self, headers: Mapping[str, str]) -> Operator | None:
        """Return the operator who sent the request, or None."""
        ...

    def endpoint(self, headers: Mapping[str, str]) -> bool:
        """Return whether the sender may announce an endpoint."""
        ...


class OpenAuthenticator:
    """Accepts every request; for hosts that listen on a loopback address only."""

    def is_authenticated(self, headers: Mapping[str, str]) -> bool:
        """Accept every sender."""
        return True

    def team(self, headers: Mapping[str, str], claimed: Team | None) -> Team | None:
        """Return the team named in the request."""
        return claimed

    def operator(self, headers: Mapping[str, str]) -> Operator | None:
        """Return the single local operator."""
        return LOCAL_OPERATOR

    def endpoint(self, headers: Mapping[str, str]) -> bool:
        """Accept every endpoint."""
        return True


class TokenAuthenticator:
    """Authenticates senders by their tokens.

    Parameters
    ----------
    teams, operators, endpoints : mapping of str to str
        Names by the digests of their tokens. If `endpoints` is None, every endpoint
        is accepted.
    """

    def __init__(
        self,
        teams: Mapping[str, Team],
        operators: Mapping[str, Operator],
        endpoints: Mapping[str, str] | None = None,
    ) -> None:
        self._teams = dict(teams)
        self._operators = dict(operators)
        self._endpoints = None if endpoints is None else dict(endpoints)

    def is_authenticated(self, headers: Mapping[str, str]) -> bool:
        """Return whether the token belongs to a team, an operator or an endpoint."""
        digest = _digest(headers)
        all_names = (self._teams, self._operators, self._endpoints or {})
        return any(digest in names for names in all_names)

    def team(self, headers: Mapping[str, str], claimed: Team | None) -> Team | None:
        """Return the team of the token, or None if the request names another."""
        team = self._teams.get(_digest(headers))
        return team if claimed in (None, team) else None

    def operator(self, headers: Mapping[str, str]) -> Operator | None:
        """Return the operator of the token, or None."""
        return self._operators.get(_digest(headers))

    def endpoint(self, headers: Mapping[str, str]) -> bool:
        """Return whether the token belongs to an endpoint, if endpoints need tokens."""
        return self._endpoints is None or _digest(headers) in self._endpoints


def new_token() -> str:
    """Return a new random token."""
    return secrets.token_urlsafe(TOKEN_BYTES)


def token_digest(token: str) -> str:
    """Return the hexadecimal digest of a token, as stored in the tokens file."""
    return hashlib.sha256(token.encode()).hexdigest()


def load_tokens(path: Path) -> TokenAuthenticator:
    """Read the digests of all tokens from an INI file.

    Raises
    ------
    SettingsInvalid
        With all problems of the file.
    """
    parser = configparser.ConfigParser(
        interpolation=None, delimiters=("=",), default_section=_NO_SECTION
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise SettingsInvalid([f"{path}: can't be read: {error}"]) from None
    problems = [
        f"{path}: [{name}]: unknown section; use {', '.join(SECTIONS)}"
        for name in parser.sections()
        if name not in SECTIONS
    ]
    names = {name: _names(parser, name, path, problems) for name in SECTIONS}
    if problems:
        raise SettingsInvalid(problems)
    endpoints = names[ENDPOINTS_SECTION] if ENDPOINTS_SECTION in parser else None
    return TokenAuthenticator(
        {digest: Team(name) for digest, name in names[TEAMS_SECTION].items()},
        {digest: Operator(name) for digest, name in names[OPERATORS_SECTION].items()},
        endpoints,
    )


def _names(
    parser: configparser.ConfigParser, section: str, path: Path, problems: list[str]
) -> dict[str, str]:
    if section not in parser:
        return {}
    names: dict[str, str] = {}
    for name, text in parser[section].items():
        for digest in text.split():
            if len(digest) != DIGEST_CHARS or not _HEX.issuperset(digest):
                reason = "is not a digest; write a line of 'token new'"
                problems.append(f"{path}: [{section}] {name}: {reason}")
            elif names.setdefault(digest, name) != name:
                reason = f"has the token of {names[digest]}; give each its own"
                problems.append(f"{path}: [{section}] {name}: {reason}")
    return names


def _digest(headers: Mapping[str, str]) -> str:
    """Return the digest of the token in the headers, or an empty string.

    Browsers send the token as the password of HTTP basic authentication.
    """
    scheme, _, value = headers.get("authorization", "").partition(" ")
    if scheme.lower() == "basic":
        try:
            credentials = base64.b64decode(value, validate=True).decode()
        except (binascii.Error, ValueError):
            return ""
        value = credentials.partition(":")[2]
    elif scheme.lower() != "bearer":
        return ""
    return token_digest(value.strip())
