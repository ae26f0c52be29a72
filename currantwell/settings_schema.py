"""Kinds of settings: the parser of a value, with its type, unit and range."""

import dataclasses
import ipaddress
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

from .errors import InvalidKey
from .ids import DataCentre, check_name

__all__ = [
    "ADDRESS",
    "IP_NUMBER",
    "NAME",
    "NAMES",
    "PATH",
    "PEER",
    "Kind",
    "PeerSettings",
    "integer",
    "number",
]

MAX_PORT = 65_535
_WITH_UNIT = re.compile(r"[-+]?[0-9.]+\s*[A-Za-zµ%]+")


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """Data centre and address (IP number and port) of another host."""

    data_centre: DataCentre
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Type, unit and range of a setting.

    Parameters
    ----------
    parse : callable
        Converts text to the value; raises ValueError with the reason if it is invalid.
    takes : str
        Description of valid values, for operators.
    """

    parse: Callable[[str], Any]
    takes: str


def number(unit: str, low: float, high: float) -> Kind:
    """Return the kind of a real number with a unit, from `low` to `high`."""
    return _number(float, f"a plain number of {unit}", low, high)


def integer(unit: str, low: int, high: int) -> Kind:
    """Return the kind of an integer with a unit, from `low` to `high`."""
    return _number(int, f"a plain whole number of {unit}", low, high)


def _number(
    convert: Callable[[str], float], description: str, low: float, high: float
) -> Kind:
    def parse(text: str) -> float:
        try:
            value = convert(text)
        except ValueError:
            if _WITH_UNIT.fullmatch(text):
                raise ValueError(f"{text!r} carries a unit") from None
            raise ValueError(f"{text!r} is not a number") from None
        if not low <= value <= high:
            raise ValueError(f"{text} is out of range")
        return value

    return Kind(parse, f"{description}, {low} to {high}")


def _parse_name(text: str) -> str:
    try:
        return check_name("name", text)
    except InvalidKey as error:
        raise ValueError(error.reason) from None


def _parse_names(text: str) -> tuple[str, ...]:
    return tuple(_parse_name(name) for name in text.split())


def _parse_ip(text: str) -> str:
    try:
        return str(ipaddress.IPv4Address(text))
    except ValueError:
        raise ValueError(f"{text!r} is not an IP number") from None


def _parse_address(text: str) -> str:
    address, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError(f"{text!r} has no port")
    _parse_ip(address)
    if not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"{port!r} is not a port")
    return text


def _parse_path(text: str) -> Path:
    if not text:
        raise ValueError("is empty")
    return Path(text)


def _parse_peer(text: str) -> PeerSettings:
    words = text.split()
    if len(words) != 2:
        raise ValueError(f"{text!r} is not a data centre and an address")
    return PeerSettings(DataCentre(_parse_name(words[0])), _parse_address(words[1]))


NAME = Kind(_parse_name, "letters, digits, '-', '_' and '.', at most 120")
NAMES = Kind(_parse_names, "names with blanks between them")
IP_NUMBER = Kind(_parse_ip, "an IP number such as 127.0.0.1")
ADDRESS = Kind(_parse_address, "an IP number and a port such as 127.0.0.1:9100")
PATH = Kind(_parse_path, "a path, from the folder of the settings file")
PEER = Kind(_parse_peer, "a data centre and an address: valdres 127.0.0.1:9100")
