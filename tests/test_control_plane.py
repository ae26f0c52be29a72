"""Three real hosts that agree on presets, under kills and freezes."""

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


def ask(host, question, *arguments):
    async def asked():
        client = OperatorClient(host.url)
        try:
            return await question(client, *arguments)
        finally:
            await client.close()

    return trio.run(asked)


def followed(host):
    return ask(host, OperatorClient.presets).followed


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
            stack.enter_context(running("host", "run", "--settings", each))
            for each in settings
        ]
        yield hosts


def wait_followed(hosts, name, timeout_s=20.0):
    began_s = time.monotonic()
    wait_until(lambda: {followed(host) for host in hosts} == {name}, timeout_s)
    return time.monotonic() - began_s


def set_preset(host, name, version, change="c-1"):
    request = ChangeRequest(change, "dawn", version)
    return ask(host, OperatorClient.set_preset, name, request)


def test_a_change_is_in_force_everywhere_and_outlives_a_kill_of_all(tmp_path):
    write_hosts(tmp_path)
    with three_hosts(tmp_path) as hosts:
        wait_followed(hosts, "ordinary")
        planned = command("preset", "plan", "peak", "--url", hosts[0].url, "--json")
        version = json.loads(planned.stdout)["version"]
        told = set_preset(hosts[1], "peak", version)
        assert told.code is ResultCode.COMPLETE
        assert wait_followed(hosts, "peak") < IN_FORCE_S
        lost = set_preset(hosts[2], "maintenance", version, "c-2")
        assert (lost.code, lost.winner.change) == (ResultCode.VERSION_CONFLICT, "c-1")
        assert set_preset(hosts[0], "peak", version).version == told.version
        for host in hosts:
            host.kill()
    with three_hosts(tmp_path) as hosts:
        wait_followed(hosts, "peak")
        assert set_preset(hosts[2], "peak", version).version == told.version
        heads = {ask(host, OperatorClient.verify_audit).head for host in hosts}
        assert len(heads) == 1
        verified = command("audit", "verify", "--url", hosts[0].url)
        assert verified.returncode == 0


def test_a_frozen_host_and_a_killed_one_are_passed_over(tmp_path):
    write_hosts(tmp_path)
    with three_hosts(tmp_path) as hosts:
        wait_followed(hosts, "ordinary")
        wait_until(lambda: has_begun(view(hosts[0])))
        first = view(hosts[0])
        frozen = hosts.pop(NAMES.index(first.primary))
        frozen.signal(signal.SIGSTOP)
        passed_over = View("valdres", first.number + 1, first.backup)
        wait_until(lambda: was(passed_over, hosts[0]), SERVES_AGAIN_S)
        told = set_preset(hosts[1], "peak", 1)
        assert told.code is ResultCode.COMPLETE
        assert wait_followed(hosts, "peak") < IN_FORCE_S
        frozen.signal(signal.SIGCONT)
        assert followed(frozen) != "ordinary"
        wait_followed([frozen], "peak", IN_FORCE_S)
        hosts[1].kill()
        told = set_preset(hosts[0], "ordinary", told.version, "c-2")
        assert told.code is ResultCode.COMPLETE
        wait_followed([frozen, hosts[0]], "ordinary")


def copied(served):
    """Tell whether the hosts have left their first views, and a backup is complete."""
    return served is not None and served.number > 2 and served.backup is not None


def view(host):
    return ask(host, OperatorClient.views).views.get("valdres")


def has_begun(seen):
    """Tell whether a primary runs the jobs, and a backup holds a copy."""
    return seen is not None and seen.number > 1 and seen.backup is not None


def is_view(host, wanted):
    return view(host) == wanted


def was(wanted, host):
    """Tell whether a view came into force, though others may have followed it."""
    entries = ask(host, OperatorClient.audit, AuditQuery(kind="view")).entries
    return msgspec.json.encode(wanted).decode() in [entry.after for entry in entries]


def test_a_host_alone_keeps_its_preset(tmp_path):
    (tmp_path / "host.ini").write_text(
        f"[host]\nid = host-1\ndata_centre = valdres\ndata_folder = {tmp_path}/data\n"
    )
    for number, before in ((2, "ordinary"), (3, "peak")):
        with running("host", "run", "--settings", str(tmp_path / "host.ini")) as host:
            wait_followed([host], before)
            told = set_preset(host, "peak", 1)
            assert (told.code, told.version) == (ResultCode.COMPLETE, 2)
            wait_followed([host], "peak")
            wanted = View("valdres", number, "host-1")
            wait_until(functools.partial(is_view, host, wanted))
            registered = AuditQuery(kind="register_host")
            listed = ask(host, OperatorClient.audit, registered)
            assert len(listed.entries) == 1
            host.kill()
