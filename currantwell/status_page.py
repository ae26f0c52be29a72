"""Renders the status as an HTML page without scripts."""

import html
from collections.abc import Iterable, Sequence

from .endpoint_protocol import Announcement
from .status import Change, HostState, Status

__all__ = ["render_status"]

REFRESH_S = 5
_STYLE = """body{font:15px sans-serif;margin:2em;max-width:70em}
table{border-collapse:collapse;margin-bottom:1.5em}
td,th{border:1px solid #bbb;padding:.25em .6em;text-align:left}
caption{text-align:left;font-weight:bold;padding:.4em 0}"""


def render_status(status: Status) -> str:
    """Return the status page, which reloads itself every `REFRESH_S` seconds.

    Parameters
    ----------
    status : Status
        The status to show.

    Returns
    -------
    str
        A complete HTML document.
    """
    title = f"{status.host} in {status.data_centre}"
    return "".join(
        [
            '<!doctype html><html lang="en"><head><meta charset="utf-8">',
            f'<meta http-equiv="refresh" content="{REFRESH_S}">',
            f"<title>{html.escape(title)}</title><style>{_STYLE}</style></head>",
            f"<body><h1>{html.escape(title)}</h1>",
            _rules(status),
            _load(status),
            _hosts(status.hosts),
            _endpoints(status.endpoints),
            _changes(status.changes),
            "</body></html>",
        ]
    )


def _rules(status: Status) -> str:
    preset = status.preset
    rows = [
        ("waiting work let in per slot", f"{preset.queue_s} s"),
        ("share of slots for long tasks", preset.long_share),
        ("longest wait for a faster endpoint, s", preset.wait_faster_s),
        ("restarts per useful start", preset.restarts_share),
    ]
    return _table(f"Preset in force: {preset.name}", ("rule", "value"), rows)


def _load(status: Status) -> str:
    load = status.load
    rows = [
        ("tasks running", f"{load.running} in {load.slots} slots"),
        ("tasks waiting", load.waiting),
        ("starts sent", load.starts),
        ("starts refused by endpoints", load.wasted),
    ]
    return _table("Load", ("", ""), rows)


def _hosts(hosts: Iterable[HostState]) -> str:
    rows = [(h.host, h.data_centre, h.state, h.role) for h in hosts]
    return _table("Hosts", ("host", "data centre", "state", "role"), rows)


def _endpoints(endpoints: Iterable[Announcement]) -> str:
    rows = [
        (
            e.endpoint,
            e.rack,
            f"{e.running} of {e.slots}",
            e.accelerators,
            "draining" if e.draining else "serving",
        )
        for e in endpoints
    ]
    head = ("endpoint", "rack", "slots in use", "accelerators", "state")
    return _table("Endpoints", head, rows)


def _changes(changes: Iterable[Change]) -> str:
    rows = [(c.at, c.by, c.what, c.why) for c in changes]
    return _table("Recent changes", ("when", "who", "what", "why"), rows)


def _table(caption: str, head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    lines = [_row("td", row) for row in rows]
    return (
        f"<table><caption>{html.escape(caption)}</caption>"
        f"{_row('th', head)}{''.join(lines)}</table>"
    )


def _row(tag: str, cells: Sequence[object]) -> str:
    inner = "".join(f"<{tag}>{html.escape(str(cell))}</{tag}>" for cell in cells)
    return f"<tr>{inner}</tr>"
