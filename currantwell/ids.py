"""Identifiers and small value types shared by all modules."""

import uuid
from typing import NewType

from .errors import InvalidKey

__all__ = [
    "ChangeId",
    "DataCentre",
    "EndpointId",
    "Epoch",
    "HostId",
    "Incarnation",
    "JobId",
    "JobKey",
    "Operator",
    "Rack",
    "StoreId",
    "Team",
    "check_name",
    "job_id",
    "new_key",
    "owning_data_centre",
]

DataCentre = NewType("DataCentre", str)
Rack = NewType("Rack", str)
HostId = NewType("HostId", str)
EndpointId = NewType("EndpointId", str)
Incarnation = NewType("Incarnation", str)
Team = NewType("Team", str)
Operator = NewType("Operator", str)
JobKey = NewType("JobKey", str)
JobId = NewType("JobId", str)
StoreId = NewType("StoreId", str)
ChangeId = NewType("ChangeId", str)
Epoch = NewType("Epoch", int)

KEY_SEPARATOR = ":"
MAX_NAME_CHARS = 120
_NAME_PUNCTUATION = frozenset("-_.")


def check_name(field: str, value: str) -> str:
    """Check that a name is short and made of letters, digits, ``-``, ``_``, ``.``.

    Parameters
    ----------
    field : str
        The field that the name comes from, for the error.
    value : str
        The name.

    Returns
    -------
    str
        The name, unchanged.

    Raises
    ------
    InvalidKey
        If the name is empty, too long or holds another character.
    """
    is_short_ascii = 0 < len(value) <= MAX_NAME_CHARS and value.isascii()
    if not is_short_ascii or not all(
        c.isalnum() or c in _NAME_PUNCTUATION for c in value
    ):
        raise InvalidKey(field, f"{value[:MAX_NAME_CHARS]!r} is not a valid name")
    return value


def new_key(home: DataCentre) -> JobKey:
    """Return a new random submission key owned by a data centre."""
    return JobKey(f"{home}{KEY_SEPARATOR}{uuid.uuid4().hex}")


def owning_data_centre(key: JobKey) -> DataCentre:
    """Return the data centre that owns a submission key.

    Raises
    ------
    InvalidKey
        If the key is not of the form ``<data centre>:<unique part>``.
    """
    home, separator, unique = key.partition(KEY_SEPARATOR)
    if not separator:
        raise InvalidKey("key", "has no home data centre; ask POST /v1/keys for one")
    check_name("key", home)
    check_name("key", unique)
    return DataCentre(home)


def job_id(team: Team, key: JobKey) -> JobId:
    """Return the id of a team's job, unique across all teams."""
    return JobId(f"{team}/{key}")
