"""Runs failure scenarios, given as scripts, on real processes.

A scenario is a text file with one step per line: a verb, names, and ``key=value``
pairs. Every connection between two processes goes through a `FaultyProxy`, so that
each of them can be cut or silenced.

============================================  =====================================
``host NAME DATA_CENTRE key=value ...``       declare a host with settings
``start``                                     start all declared hosts
``endpoint NAME DATA_CENTRE key=value ...``   start an emulated endpoint
``fault NAME key=value ...``                  change an emulated endpoint's faults
``ready N [via=HOST]``                    wait until N endpoints are registered
``submit JOB [via=HOST] tasks=N sleep_s=S ...``  submit a job without waiting for it
``again JOB [via=HOST]``                      submit the same job again
``preset NAME [via=HOST] [version=N] [id=ID]`` set a preset
``expect-preset NAME [via=HOST] [within_s=S]`` check which preset a host follows
``cancel JOB [via=HOST]``                     cancel a job
``started N``                                 wait until N tasks have been started
``kill|stop|freeze|thaw NAME``                SIGKILL, SIGTERM, SIGSTOP, SIGCONT
``restart NAME [lose=disk]``                  restart a process that has ended
``link FROM TO FAULT``                        put a fault on a link
``isolate|rejoin DATA_CENTRE``                silence or restore a data centre's links
``silence FROM TO``                           silence a link's open connections
``expect JOB STATE [code=CODE] [within_s=S]``  check the job's answer
``expect-refused JOB CODE``                   check the reply to the last submission
``expect-tasks JOB STATE=N ...``              check the task states of a failed job
``expect-started-once``                       check that no task started twice
``expect-starts NAME N``                      check the starts of an endpoint
``expect-few-starts NAME MOST``  check for 1 to MOST starts at an endpoint
``expect-exit NAME CODE``                     check the exit code of a process
``expect-no-new-starts NAME after_s=S for_s=S``  check that an endpoint gets no start
``pause S``                                   wait for S seconds
============================================  =====================================
"""

import collections
import json
import shlex
import shutil
import signal
import subprocess
import sys

import httpcore
import msgspec
import trio

from currantwell.admin_protocol import ChangeRequest
from currantwell.answers import Answer, Refusal
from currantwell.client import Client
from currantwell.codes import ResultCode
from currantwell.ids import EndpointId, JobKey, Team
from currantwell.operator_client import OperatorClient
from currantwell.submission import RestartRule, Submission, TaskSpec
from tests.faulty_proxy import Fault, FaultyProxy
from tests.processes import free_port

STEP_TIMEOUT_S = 30.0
POLL_S = 0.05
LONG_WAIT_S = 10.0
SHARED_KEY = "a key that only the hosts of this test hold"
SIGNALS = {
    "kill": signal.SIGKILL,
    "stop": signal.SIGTERM,
    "freeze": signal.SIGSTOP,
    "thaw": signal.SIGCONT,
}


class Node:
    """A process under test."""

    def __init__(self, name, data_centre, options):
        self.name = name
        self.data_centre = data_centre
        self.options = options
        self.process = None
        self.address = None
        self.peer_port = None
        self.arguments = ()


class Scenario:
    """Runs the steps of one script."""

    def __init__(self, folder, nursery):
        self._folder = folder
        self._nursery = nursery
        self._hosts = {}
        self._endpoints = {}
        self._proxies = {}
        self._jobs = {}
        self._replies = {}

    async def run(self, text):
        """Run a script; the error of a failed step names its line."""
        for number, line in enumerate(text.splitlines(), start=1):
            verb, *words = shlex.split(line, comments=True) or [""]
            if not verb:
                continue
            names = [word for word in words if "=" not in word]
            options = dict(word.split("=", 1) for word in words if "=" in word)
            step = getattr(self, "do_" + verb.replace("-", "_"))
            try:
                with trio.fail_after(STEP_TIMEOUT_S):
                    await step(*names, **options)
            except BaseException as error:
                error.add_note(f"line {number}: {line}")
                raise

    def end(self):
        """Kill every process that still runs."""
        for node in [*self._hosts.values(), *self._endpoints.values()]:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()

    # Processes.

    async def do_host(self, name, data_centre, **settings):
        node = Node(name, data_centre, settings)
        self._hosts[name] = node
        (self._folder / name).mkdir()

    async def do_start(self):
        for node in self._hosts.values():
            node.peer_port = free_port()
        for node in self._hosts.values():
            await self._write_settings(node)
        for node in self._hosts.values():
            await self._start_host(node)

    async def do_endpoint(self, name, data_centre, **options):
        node = Node(name, data_centre, options)
        self._endpoints[name] = node
        port = free_port()
        node.address = ("127.0.0.1", port)
        arguments = ["--id", name, "--data-centre", data_centre, "--port", str(port)]
        for host in self._hosts.values():
            if host.data_centre == data_centre:
                proxy = await self._proxy(name, host.name, host.address)
                arguments += ["--entry", f"http://{proxy.address}"]
        proxy = await self._proxy("hosts", name, node.address)
        arguments += ["--public-url", f"http://{proxy.address}"]
        for key, value in options.items():
            arguments += ["--" + key.replace("_", "-"), value]
        node.arguments = ("endpoint", "emulate", *arguments)
        await self._launch(node)

    async def do_kill(self, name):
        await self._signal(name, signal.SIGKILL)

    async def do_stop(self, name):
        """Send SIGTERM; for a host, wait until its readiness check fails."""
        node = self._node(name)
        node.process.send_signal(signal.SIGTERM)
        if name in self._hosts:
            await _wait_until(lambda: self._is_unready(node))

    async def _is_unready(self, node):
        url = "http://{}:{}/readyz".format(*node.address)
        async with httpcore.AsyncConnectionPool() as pool:
            try:
                return (await pool.request("GET", url)).status == 503
            except (httpcore.NetworkError, httpcore.ProtocolError):
                return True

    async def do_freeze(self, name):
        await self._signal(name, signal.SIGSTOP)

    async def do_thaw(self, name):
        await self._signal(name, signal.SIGCONT)

    async def do_restart(self, name, lose=None):
        node = self._node(name)
        await trio.to_thread.run_sync(node.process.wait)
        if lose == "disk":
            shutil.rmtree(self._folder / name / "data")
        if name in self._hosts:
            await self._start_host(node)
        else:
            await self._launch(node)

    async def _signal(self, name, number):
        process = self._node(name).process
        process.send_signal(number)
        if number is signal.SIGKILL:
            await trio.to_thread.run_sync(process.wait)

    def _node(self, name):
        return self._hosts.get(name) or self._endpoints[name]

    async def _write_settings(self, node):
        values = {
            "id": node.name,
            "data_centre": node.data_centre,
            "http_port": str(free_port()),
            "data_folder": str(self._folder / node.name / "data"),
        }
        lines = []
        if len(self._hosts) > 1:
            key_file = self._folder / "hosts.key"
            key_file.write_text(SHARED_KEY)
            key_file.chmod(0o600)
            values["peer_address"] = f"127.0.0.1:{node.peer_port}"
            values["key_file"] = str(key_file)
            values["copies"] = "2"
            lines.append("[peers]")
        for other in self._hosts.values():
            if other is not node:
                target = ("127.0.0.1", other.peer_port)
                proxy = await self._proxy(node.name, other.name, target)
                lines.append(f"{other.name} = {other.data_centre} {proxy.address}")
        values.update(node.options)
        head = ["[host]", *(f"{key} = {value}" for key, value in values.items())]
        (self._folder / node.name / "host.ini").write_text("\n".join(head + lines))
        node.address = ("127.0.0.1", int(values["http_port"]))

    async def _start_host(self, node):
        path = self._folder / node.name / "host.ini"
        node.arguments = ("host", "run", "--settings", str(path))
        await self._launch(node)

    async def _launch(self, node):
        log = (self._folder / f"{node.name}.log").open("ab")
        node.process = subprocess.Popen(
            [sys.executable, "-m", "currantwell", *node.arguments],
            stdout=subprocess.PIPE,
            stderr=log,
        )
        line = await trio.to_thread.run_sync(node.process.stdout.readline)
        assert line, f"{node.name} did not start; see its log"
        node.process.stdout.close()

    # Links.

    async def _proxy(self, source, target, address):
        proxy = self._proxies.get((source, target))
        if proxy is None:
            proxy = await self._nursery.start(FaultyProxy(address).run)
            self._proxies[source, target] = proxy
        return proxy

    async def do_link(self, source, target, fault):
        self._proxies[source, target].set_fault(Fault(fault))

    async def do_silence(self, source, target):
        self._proxies[source, target].silence_open_connections()

    async def do_isolate(self, data_centre, fault="silent"):
        """Put a fault on every link between a data centre's hosts and all others."""
        for proxy in self._border(data_centre):
            proxy.set_fault(Fault(fault))

    async def do_rejoin(self, data_centre):
        await self.do_isolate(data_centre, "none")

    def _border(self, data_centre):
        for (source, target), proxy in self._proxies.items():
            ends = [self._hosts.get(source), self._hosts.get(target)]
            if None in ends:
                continue
            inside = [node.data_centre == data_centre for node in ends]
            if inside[0] != inside[1]:
                yield proxy

    async def do_pause(self, seconds):
        await trio.sleep(float(seconds))

    # Callers.

    def _client(self, via):
        name = via or next(iter(self._hosts))
        address, port = self._hosts[name].address
        return Client(f"http://{address}:{port}")

    async def do_ready(self, count, via=None):
        client = self._client(via)

        async def registered():
            return len(await client.endpoints()) >= int(count)

        await _wait_until(registered)
        await client.close()

    async def do_submit(
        self,
        job,
        via=None,
        tasks="1",
        sleep_s="0.05",
        restart="if_not_run",
        deadline_s="30",
        key=None,
        declared_s=None,
        endpoint=None,
        within_s=None,
    ):
        client = self._client(via)
        spec = TaskSpec(
            "scenario",
            {"sleep_s": float(sleep_s), "value": job},
            float(declared_s or sleep_s),
            restart=RestartRule(restart),
            endpoint=EndpointId(endpoint) if endpoint else None,
        )
        data_centre = self._hosts[via or next(iter(self._hosts))].data_centre
        job_key = JobKey(key) if key else JobKey(f"{data_centre}:{job}")
        self._jobs[job] = Submission(
            job_key, Team("team"), (spec,) * int(tasks), float(deadline_s)
        )
        await self._send(client, job, within_s)

    async def do_again(self, job, via=None, within_s=None):
        await self._send(self._client(via), job, within_s)

    async def _send(self, client, job, within_s):
        """Submit once, or retry for `within_s` seconds until the job is accepted."""

        async def accepted():
            self._replies[job] = await client.submit(self._jobs[job])
            return within_s is None or isinstance(self._replies[job], Answer)

        with trio.fail_after(float(within_s or STEP_TIMEOUT_S)):
            await _wait_until(accepted)
        await client.close()

    async def do_repaired(self, data_centre, via=None):
        """Wait until a data centre has a running primary and a running backup."""
        client = self._operator(via)

        async def repaired():
            view = (await client.views()).views[data_centre]
            alive = [
                name and self._hosts[name].process.poll() is None
                for name in (view.primary, view.backup)
            ]
            return all(alive)

        await _wait_until(repaired)
        await client.close()

    async def do_preset(self, name, via=None, version=None, id="change"):
        """Set a preset, based on the newest version unless another is given."""
        client = self._operator(via)
        if version is None:
            version = (await client.plan_preset(name)).version
        request = ChangeRequest(id, "a scenario", int(version))
        self._replies[name] = await client.set_preset(name, request)
        await client.close()

    async def do_expect_preset(self, name, via=None, within_s="3"):
        client = self._operator(via)

        async def followed():
            return (await client.presets()).followed == name

        with trio.fail_after(float(within_s)):
            await _wait_until(followed)
        await client.close()

    def _operator(self, via):
        address, port = self._hosts[via or next(iter(self._hosts))].address
        return OperatorClient(f"http://{address}:{port}")

    async def do_cancel(self, job, via=None):
        client = self._client(via)
        submission = self._jobs[job]
        self._replies[job] = await client.cancel(submission.team, submission.key)
        await client.close()

    async def do_fault(self, name, **faults):
        values = {key: json.loads(value) for key, value in faults.items()}
        address, port = self._endpoints[name].address
        async with httpcore.AsyncConnectionPool() as pool:
            url = f"http://{address}:{port}/v1/faults"
            reply = await pool.request("POST", url, content=json.dumps(values).encode())
            assert reply.status == 200, reply.content

    # Checks.

    async def do_started(self, count):
        async def enough():
            return sum((await self._starts()).values()) >= int(count)

        await _wait_until(enough)

    async def do_expect(self, job, state, via=None, code=None, within_s="20"):
        submission = self._jobs[job]
        client = self._client(via)
        reply = self._replies[job]

        async def answered():
            nonlocal reply
            reply = await client.wait(submission.team, submission.key, LONG_WAIT_S)
            return isinstance(reply, Answer) and reply.code is not ResultCode.RUNNING

        with trio.move_on_after(float(within_s)):
            await _wait_until(answered)
        await client.close()
        self._replies[job] = reply
        assert isinstance(reply, Answer), reply
        assert reply.state.value == state, reply
        if state == "complete":
            assert reply.results == (job,) * len(submission.tasks)
        if code is not None:
            assert reply.code is ResultCode[code], reply

    async def do_expect_refused(self, job, code):
        reply = self._replies[job]
        assert isinstance(reply, Refusal), reply
        assert reply.code is ResultCode[code], reply

    async def do_expect_tasks(self, job, **states):
        counts = collections.Counter(
            status.state.value for status in self._replies[job].tasks
        )
        assert counts == {state: int(n) for state, n in states.items()}, counts

    async def do_expect_started_once(self):
        starts = await self._starts()
        assert starts
        assert max(starts.values()) == 1, starts.most_common(3)

    async def do_expect_starts(self, name, count):
        assert sum((await self._starts(name)).values()) == int(count)

    async def do_expect_few_starts(self, name, most):
        assert 0 < sum((await self._starts(name)).values()) <= int(most)

    async def do_expect_exit(self, name, code):
        process = self._node(name).process
        assert await trio.to_thread.run_sync(process.wait) == int(code)

    async def do_expect_no_new_starts(self, name, after_s, for_s):
        await trio.sleep(float(after_s))
        before = sum((await self._starts(name)).values())
        await trio.sleep(float(for_s))
        assert sum((await self._starts(name)).values()) == before

    async def _starts(self, only=None):
        """Count the starts of each task over the endpoints that still run."""
        starts = collections.Counter()
        for node in self._endpoints.values():
            if only not in (None, node.name) or node.process.poll() is not None:
                continue
            address, port = node.address
            async with httpcore.AsyncConnectionPool() as pool:
                url = f"http://{address}:{port}/v1/started"
                reply = await pool.request("GET", url)
            for job, task, count in msgspec.json.decode(reply.content):
                starts[job, task] += count
        return starts


async def _wait_until(condition):
    while not await condition():
        await trio.sleep(POLL_S)


async def run_scenario(text, folder):
    """Run a script with its files in the given folder."""
    async with trio.open_nursery() as nursery:
        scenario = Scenario(folder, nursery)
        try:
            await scenario.run(text)
        finally:
            scenario.end()
            nursery.cancel_scope.cancel()
