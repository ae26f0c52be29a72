"""Two and three hosts as real processes: takeover, restart, lost disks, handover."""

import itertools
import json
import shutil
import signal
import subprocess
import sys
import threading
from contextlib import ExitStack, contextmanager
from pathlib import Path

import trio

from currantwell.answers import Answer, JobState
from currantwell.client import Client
from currantwell.codes import ResultCode
from currantwell.errors import EndpointUnreachable, RequestRefused
from currantwell.http_client import HttpClient
from tests.builders import DATA_CENTRE, a_submission
from tests.processes import Process, free_port, running, wait_until

TASKS = 200
SERVICE_AGAIN_S = 5.0
ANSWER_S = 40.0
ONE_REQUEST_S = 25.0
LAUNCHES = 5
JOB_NUMBERS = itertools.count()


class Cluster:
    """Hosts of one data centre with emulated endpoints."""

    def __init__(self, folder, stack, names, copies, control):
        self.folder, self.stack = folder, stack
        self.views = folder / "views"
        self.views.mkdir()
        self.names, self.copies, self.control = names, copies, control
        self.peer_ports = {name: free_port() for name in names}
        self.http_ports = {name: free_port() for name in names}
        (folder / "key").write_text("k" * 32)
        self.hosts, self.endpoints = {}, []
        self.start_all()

    def start_all(self):
        """Start all hosts at once: they need one another to agree."""
        popens = {name: self.launch(name) for name in self.names}
        for name, popen in popens.items():
            self.read_url(name, popen)

    def start(self, name):
        self.read_url(name, self.launch(name))

    def read_url(self, name, popen):
        """Read a host's URL from its output; restart it if its port was taken."""
        for _ in range(LAUNCHES):
            line = popen.stdout.readline()
            if line:
                break
            popen = self.launch(name)
        self.hosts[name] = Process(popen, json.loads(line)["url"], ())

    def launch(self, name):
        others = [other for other in self.names if other != name]
        path = self.folder / f"{name}.ini"
        path.write_text(
            "\n".join(
                [
                    "[host]",
                    f"id = {name}",
                    f"data_centre = {DATA_CENTRE}",
                    f"http_port = {self.http_ports[name]}",
                    f"data_folder = {self.folder / name}",
                    f"peer_address = 127.0.0.1:{self.peer_ports[name]}",
                    f"key_file = {self.folder / 'key'}",
                    f"copies = {self.copies}",
                    "[peers]",
                    *(
                        f"{o} = {DATA_CENTRE} 127.0.0.1:{self.peer_ports[o]}"
                        for o in others
                    ),
                ]
            )
        )
        module = ["tests.view_host", str(path), str(self.views)]
        if self.control:
            module = ["currantwell", "host", "run", "--settings", str(path)]
        log = (self.folder / f"{name}.log").open("ab")
        command = [sys.executable, "-m", *module]
        popen = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log)
        log.close()
        self.stack.callback(stop, popen)
        return popen

    def add_endpoints(self, count):
        entries = [f"--entry={host.url}" for host in self.hosts.values()]
        for index in range(count):
            name = f"--id=endpoint-{index}"
            place = f"--data-centre={DATA_CENTRE}"
            arguments = ("endpoint", "emulate", name, place, *entries)
            self.endpoints.append(self.stack.enter_context(running(*arguments)))

    def view(self):
        files = sorted(self.views.glob("*.json"), key=lambda p: int(p.suffixes[-2][1:]))
        return json.loads(files[-1].read_text()) if files else None

    def has_backup(self):
        view = self.view()
        return view is not None and view["backup"] is not None

    def primary(self):
        return self.hosts[self.view()["primary"]]

    def other(self):
        return self.hosts[self.view()["backup"]]


def stop(popen):
    if popen.poll() is None:
        popen.send_signal(signal.SIGCONT)
        popen.kill()
        popen.wait()
    popen.stdout.close()


@contextmanager
def running_cluster(
    folder: Path, names=("h1", "h2"), copies=1, endpoints=2, control=False
):
    with ExitStack() as stack:
        cluster = Cluster(folder, stack, names, copies, control)
        cluster.add_endpoints(endpoints)
        if not control:
            wait_until(cluster.has_backup)
        for host in cluster.hosts.values():
            wait_until(lambda host=host: known_endpoints(host) == endpoints)
        yield cluster


def known_endpoints(host):
    async def ask():
        client = Client(host.url)
        try:
            return len(await client.endpoints())
        except (EndpointUnreachable, RequestRefused):
            return 0
        finally:
            await client.close()

    return trio.run(ask)


def ask_run(host, submission, timeout_s=ANSWER_S):
    """Submit and wait, retrying for as long as the outcome is unknown."""

    async def ask():
        client = Client(host.url)
        answer = None
        with trio.move_on_after(timeout_s):
            while not isinstance(answer, Answer) or answer.state is JobState.RUNNING:
                answer = await client.run(submission, timeout_s)
                await trio.sleep(0.05)
        await client.close()
        return answer

    return trio.run(ask)


def started(cluster):
    """Return how often each task of each job was started, over all endpoints."""

    async def ask():
        counts = {}
        for endpoint in cluster.endpoints:
            client = HttpClient(endpoint.url)
            reply = await client.request("GET", "/v1/started")
            await client.close()
            for job, task, count in json.loads(reply.body):
                counts[job, task] = counts.get((job, task), 0) + count
        return counts

    return trio.run(ask)


def ask_once(host, submission):
    """Submit and wait in one request."""

    async def ask():
        client = Client(host.url)
        answer = await client.submit(submission, ONE_REQUEST_S)
        await client.close()
        return answer

    return trio.run(ask)


class RunningJob:
    """A job submitted from its own thread."""

    def __init__(self, host, submission, ask=ask_run):
        self.answer = None
        self._thread = threading.Thread(target=self._run, args=(ask, host, submission))
        self._thread.start()

    def _run(self, ask, host, submission):
        self.answer = ask(host, submission)

    def join(self):
        self._thread.join(ANSWER_S)
        return self.answer


def is_complete(answer, submission):
    values = tuple(task.payload["value"] for task in submission.tasks)
    return answer.code is ResultCode.COMPLETE and tuple(answer.results) == values


def started_at_least(cluster, count):
    return lambda: sum(started(cluster).values()) >= count


def expect_started_once(cluster, submission):
    counts = started(cluster)
    job_counts = {task: n for (job, task), n in counts.items() if submission.key in job}
    assert job_counts == {index: 1 for index in range(len(submission.tasks))}


def test_the_primary_is_killed_during_a_job(tmp_path):
    with running_cluster(tmp_path) as cluster:
        job = a_submission("long", TASKS, sleep_s=0.1)
        successor = cluster.other()
        running_job = RunningJob(successor, job)
        wait_until(started_at_least(cluster, TASKS // 4))
        cluster.primary().kill()
        probe = a_submission("probe", 1)
        answer = ask_run(successor, probe, SERVICE_AGAIN_S)
        assert is_complete(answer, probe)
        assert is_complete(running_job.join(), job)
        expect_started_once(cluster, job)


def test_a_frozen_primary_is_replaced_and_resumes_without_a_role(tmp_path):
    with running_cluster(tmp_path) as cluster:
        job, probe = a_submission("long", TASKS, sleep_s=0.1), a_submission("probe")
        frozen, successor = cluster.primary(), cluster.other()
        running_job = RunningJob(successor, job)
        wait_until(started_at_least(cluster, TASKS // 4))
        frozen.signal(signal.SIGSTOP)
        assert is_complete(ask_run(successor, probe, SERVICE_AGAIN_S), probe)
        frozen.signal(signal.SIGCONT)
        later = a_submission("later")
        assert is_complete(ask_run(frozen, later), later)
        assert is_complete(running_job.join(), job)
        expect_started_once(cluster, job)


def test_a_primary_that_stops_hands_over_and_interrupts_no_request(tmp_path):
    with running_cluster(tmp_path) as cluster:
        job = a_submission("long", TASKS, sleep_s=0.1)
        leaving, successor = cluster.primary(), cluster.other()
        running_job = RunningJob(leaving, job, ask_once)
        wait_until(started_at_least(cluster, TASKS // 4))
        leaving.signal(signal.SIGTERM)
        wait_until(lambda: cluster.primary() is successor)
        assert is_complete(running_job.join(), job)
        assert leaving.popen.wait(ANSWER_S) == 0
        probe = a_submission("probe")
        assert is_complete(ask_run(successor, probe, SERVICE_AGAIN_S), probe)
        expect_started_once(cluster, job)


def test_both_hosts_are_killed_at_once(tmp_path):
    with running_cluster(tmp_path) as cluster:
        job = a_submission("long", TASKS, sleep_s=0.1)
        running_job = RunningJob(cluster.other(), job)
        wait_until(started_at_least(cluster, TASKS // 4))
        for host in cluster.hosts.values():
            host.popen.kill()
        for name in cluster.names:
            cluster.hosts[name].popen.wait()
            cluster.start(name)
        running_job.join()
        second_answer = ask_run(cluster.hosts["h1"], job)
        assert is_complete(second_answer, job)
        assert ask_run(cluster.hosts["h2"], job) == second_answer
        expect_started_once(cluster, job)


def test_a_second_disk_lost_after_a_repair_loses_nothing(tmp_path):
    with running_cluster(tmp_path, copies=2) as cluster:
        job = a_submission("kept", 20)
        answer = ask_run(cluster.primary(), job)
        assert is_complete(answer, job)
        for _ in range(2):
            lose(cluster, cluster.view()["backup"])
            lose(cluster, cluster.view()["primary"])
        assert ask_run(cluster.hosts["h1"], job) == answer
        assert ask_run(cluster.hosts["h2"], job) == answer
        expect_started_once(cluster, job)


def lose(cluster, name):
    """Kill a host, erase its disk, see new jobs refused, and await the repair."""
    cluster.hosts[name].kill()
    shutil.rmtree(cluster.folder / name)
    (other,) = set(cluster.names) - {name}
    wait_until(lambda: cluster.view()["primary"] == other and not cluster.has_backup())
    refused = ResultCode.NOT_RUN_SECOND_COPY_MISSING
    wait_until(lambda: submit_once(cluster.hosts[other]).code is refused)
    cluster.start(name)
    wait_until(cluster.has_backup)


def submit_once(host):
    async def ask():
        client = Client(host.url)
        try:
            return await client.submit(a_submission(f"refused-{next(JOB_NUMBERS)}"))
        finally:
            await client.close()

    return trio.run(ask)


def test_each_host_of_three_is_killed_in_turn(tmp_path):
    """The `host run` command, with the agreement between hosts and two copies."""
    with running_cluster(
        tmp_path, ("h1", "h2", "h3"), copies=2, control=True
    ) as cluster:
        jobs = []
        for name, other in (("h1", "h2"), ("h2", "h3"), ("h3", "h1")):
            job = a_submission(f"while-{name}-dies", TASKS, sleep_s=0.1)
            running_job = RunningJob(cluster.hosts[other], job)
            wait_until(started_at_least(cluster, len(jobs) * TASKS + TASKS // 4))
            cluster.hosts[name].kill()
            probe = a_submission(f"probe-{name}")
            assert is_complete(
                ask_run(cluster.hosts[other], probe, SERVICE_AGAIN_S), probe
            )
            jobs.append((job, running_job.join()))
            assert is_complete(jobs[-1][1], job)
            cluster.start(name)
        for job, answer in jobs:
            assert ask_run(cluster.hosts["h3"], job) == answer
            expect_started_once(cluster, job)
