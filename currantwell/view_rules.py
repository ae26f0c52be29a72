"""Rules for the next view of a data centre.

Only the members of a view hold all committed records. A host therefore joins a view
as backup only, once its copy holds every committed record, and only a member may be
the primary of the next view.
"""

from collections.abc import Collection, Sequence

from .ids import DataCentre, Epoch, HostId
from .views import View

__all__ = [
    "describe_view_change",
    "first_view",
    "is_valid_next_view",
    "view_without",
    "view_without_suspects",
]


def is_valid_next_view(
    newest: View | None, view: View, hosts: Collection[HostId]
) -> bool:
    """Return whether a view may succeed the newest one.

    Parameters
    ----------
    newest : View or None
        The newest view of the data centre, None if there is none.
    view : View
        The view proposed.
    hosts : collection of HostId
        The hosts that may be members: those of the data centre for its first view,
        all hosts later.
    """
    members = [view.primary] if view.backup is None else [view.primary, view.backup]
    if len(set(members)) < len(members) or not set(members) <= set(hosts):
        return False
    if newest is None:
        return view.number == 1
    follows = view.number == newest.number + 1
    return follows and view.primary in (newest.primary, newest.backup)


def view_without(view: View, host: HostId) -> View | None:
    """Return the next view without a host, None if no member would be left."""
    number = Epoch(view.number + 1)
    if view.primary == host:
        if view.backup is None:
            return None
        return View(view.data_centre, number, view.backup)
    return View(view.data_centre, number, view.primary)


def view_without_suspects(
    view: View, suspects: Collection[HostId]
) -> tuple[View, str] | None:
    """Return the next view without an unresponsive member, and the reason.

    Returns None if no member is suspected, or if none would remain: with both members
    lost, no other host would have the jobs.
    """
    if view.primary in suspects and view.backup in suspects:
        return None
    for member, role in ((view.primary, "primary"), (view.backup, "backup")):
        if member is not None and member in suspects:
            next_view = view_without(view, member)
            reason = f"{role} {member} does not answer"
            return None if next_view is None else (next_view, reason)
    return None


def first_view(
    data_centre: DataCentre, hosts: Sequence[HostId], copies: int
) -> View | None:
    """Return the first view of hosts without records, None if too few hosts."""
    selected = sorted(hosts)[: min(copies, 2)]
    if not selected or len(selected) < min(copies, 2):
        return None
    backup = selected[1] if len(selected) > 1 else None
    return View(data_centre, Epoch(1), selected[0], backup)


def describe_view_change(newest: View | None, view: View) -> str:
    """Describe how a view differs from its predecessor, for the audit trail."""
    if newest is None:
        return "first view"
    if view.primary != newest.primary:
        return f"{view.primary} takes over from {newest.primary}"
    if view.backup == newest.backup:
        return f"{view.primary} begins anew"
    if view.backup is None:
        return f"{view.primary} goes on without {newest.backup}"
    return f"{view.backup} holds a whole copy"
