"""Three real hosts that agree on presets while hosts are killed and frozen."""

import functools
import json
import signal
import time
from contextlib import ExitStack, contextmanager

import msgspec
import trio

from currantwell.admin_protocol import ChangeRequest
from currantwell.audit import AuditQuery
from currantwell.codes import ResultCode
from currantwell.operator_client import OperatorClient
from currantwell.views import View
from tests.builders import KEY_TEXT, free_addresses
from tests.processes import command, running, wait_until

NAMES = ("host-1", "host-2", "host-3")
IN_FORCE_S = 3.0
SERVES_AGAIN_S = 5.0


def query(host, method, *arguments):
    async def call():
        client = OperatorClient(host.url)
        try:
            return await method(client, *arguments)
        finally:
            await client.close()

    return trio.run(call)


def followed(host):
    return query(host, OperatorClient.presets).followed


def write_hosts(folder):
    (folder / "hosts.key").write_text(KEY_TEXT)
    addresses = dict(zip(NAMES, free_addresses(len(NAMES)), strict=True))
    for name, address in addresses.items():
        others = [f"{n} = valdres {a}" for n, a in addresses.items() if n != name]
        lines = ["[host]", f"id = {name}", "data_centre = valdres"]
        lines += [f"data_folder = {folder / name}", f"peer_address = {address}"]
        lines += [f"key_file = {folder / 'hosts.key'}", "copies = 2", "[peers]"]
        (folder / f"{name}.ini").write_text("\n".join([*lines, *others]) + "\n")


@contextmanager
def three_hosts(folder):
    with ExitStack() as stack:
        settings = [str(folder / f"{name}.ini") for name in NAMES]
        hosts = [
            stack.enter_context(running("host", "run", "--settings", path))
            for path in settings
        ]
        yield hosts


def wait_followed(hosts, name, timeout_s=20.0):
    started_s = time.monotonic()
    wait_until(lambda: {followed(host) for host in hosts} == {name}, timeout_s)
    return time.monotonic() - started_s


def set_preset(host, name, version, change="c-1"):
    request = ChangeRequest(change, "dawn", version)
    return query(host, OperatorClient.set_preset, name, request)


def test_a_change_is_in_force_everywhere_and_survives_a_kill_of_all(tmp_path):
    write_hosts(tmp_path)
    with three_hosts(tmp_path) as hosts:
        wait_followed(hosts, "ordinary")
        planned = command("preset", "plan", "peak", "--url", hosts[0].url, "--json")
        version = json.loads(planned.stdout)["version"]
        changed = set_preset(hosts[1], "peak", version)
        assert changed.code is ResultCode.COMPLETE
        assert wait_followed(hosts, "peak") < IN_FORCE_S
        conflicting = set_preset(hosts[2], "maintenance", version, "c-2")
        assert (conflicting.code, conflicting.winner.change) == (
            ResultCode.VERSION_CONFLICT,
            "c-1",
        )
        assert set_preset(hosts[0], "peak", version).version == changed.version
        for host in hosts:
            host.kill()
    with three_hosts(tmp_path) as hosts:
        wait_followed(hosts, "peak")
        assert set_preset(hosts[2], "peak", version).version == changed.version
        heads = {query(host, OperatorClient.verify_audit).head for host in hosts}
        assert len(heads) == 1
        verified = command("audit", "verify", "--url", hosts[0].url)
        assert verified.returncode == 0


def test_a_frozen_and_a_killed_host_do_not_stop_changes(tmp_path):
    write_hosts(tmp_path)
    with three_hosts(tmp_path) as hosts:
        wait_followed(hosts, "ordinary")
        wait_until(lambda: is_replicated(view(hosts[0])))
        first = view(hosts[0])
        frozen = hosts.pop(NAMES.index(first.primary))
        frozen.signal(signal.SIGSTOP)
        next_view = View("valdres", first.number + 1, first.backup)
        wait_until(lambda: came_into_force(next_view, hosts[0]), SERVES_AGAIN_S)
        changed = set_preset(hosts[1], "peak", 1)
        assert changed.code is ResultCode.COMPLETE
        assert wait_followed(hosts, "peak") < IN_FORCE_S
        frozen.signal(signal.SIGCONT)
        assert followed(frozen) != "ordinary"
        wait_followed([frozen], "peak", IN_FORCE_S)
        hosts[1].kill()
        changed = set_preset(hosts[0], "ordinary", changed.version, "c-2")
        assert changed.code is ResultCode.COMPLETE
        wait_followed([frozen, hosts[0]], "ordinary")


def copied(current):
    """Return whether the hosts have left their first views and a backup is complete."""
    return current is not None and current.number > 2 and current.backup is not None


def view(host):
    return query(host, OperatorClient.views).views.get("valdres")


def is_replicated(current):
    """Return whether a primary runs the jobs and a backup holds a copy."""
    return current is not None and current.number > 1 and current.backup is not None


def is_view(host, expected):
    return view(host) == expected


def came_into_force(expected, host):
    """Return whether a view came into force, even if others have replaced it since."""
    entries = query(host, OperatorClient.audit, AuditQuery(kind="view")).entries
    return msgspec.json.encode(expected).decode() in [entry.after for entry in entries]


def test_a_single_host_keeps_its_preset(tmp_path):
    (tmp_path / "host.ini").write_text(
        f"[host]\nid = host-1\ndata_centre = valdres\ndata_folder = {tmp_path}/data\n"
    )
    for number, before in ((2, "ordinary"), (3, "peak")):
        with running("host", "run", "--settings", str(tmp_path / "host.ini")) as host:
            wait_followed([host], before)
            changed = set_preset(host, "peak", 1)
            assert (changed.code, changed.version) == (ResultCode.COMPLETE, 2)
            wait_followed([host], "peak")
            expected = View("valdres", number, "host-1")
            wait_until(functools.partial(is_view, host, expected))
            registered = AuditQuery(kind="register_host")
            listed = query(host, OperatorClient.audit, registered)
            assert len(listed.entries) == 1
            host.kill()
