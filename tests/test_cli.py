import json
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from currantwell.codes import ResultCode
from currantwell.exit_codes import ExitCode, exit_code
from tests.processes import (
    STOP_TIMEOUT_S,
    command,
    one_host,
    wait_until,
    write_settings,
)

EXAMPLE = str(Path(__file__).parent.parent / "examples" / "check_in.json")
DEAD = "http://127.0.0.1:9"


@pytest.fixture(scope="module")
def url(tmp_path_factory):
    with one_host(tmp_path_factory.mktemp("host")) as host:
        wait_until(lambda: len(run(host.url, "endpoint", "list")[1].splitlines()) == 2)
        yield host.url


def run(url, *arguments):
    done = command(*arguments, "--url", DEAD, "--url", url)
    return done.returncode, done.stdout.decode(), done.stderr.decode()


def test_a_job_is_followed_from_submission_to_its_tasks(url):
    code, output, words = run(url, "job", "submit", EXAMPLE)
    assert (code, json.loads(output)["state"]) == (0, "complete")
    key = words.split()[-1]
    job_arguments = (key, "--team", "aspen-crew")
    assert run(url, "job", "wait", *job_arguments)[1] == output
    assert run(url, "job", "tasks", *job_arguments)[1].count("done, at endpoint-") == 24
    assert len(json.loads(run(url, "job", "tasks", "--json", *job_arguments)[1])) == 24
    assert run(url, "job", "explain", *job_arguments)[0] == 0
    assert run(url, "job", "cancel", *job_arguments)[1] == output


def test_an_endpoint_is_drained_and_resumed(url):
    def states():
        listed = json.loads(run(url, "endpoint", "list", "--json")[1])
        return [announcement["draining"] for announcement in listed]

    reason = ("--reason", "belt slips")
    drain = ("endpoint", "drain", "endpoint-0", "--version", "1", *reason)
    assert run(url, *drain)[0] == 0
    wait_until(lambda: "endpoint-0: draining" in run(url, "endpoint", "list")[1])
    _, output, words = run(url, "job", "submit", EXAMPLE)
    assert json.loads(output)["state"] == "complete"
    key = words.split()[-1]
    tasks = run(url, "job", "tasks", key, "--team", "aspen-crew")[1]
    assert tasks.count("at endpoint-1") == 24
    assert "endpoint-0\nversion 2\n" in run(url, "endpoint", "drained")[1]
    assert run(url, *drain)[0] == ExitCode.REFUSED
    resume = ("endpoint", "resume", "endpoint-0", "--version", "2", *reason)
    assert run(url, *resume)[0] == 0
    wait_until(lambda: states() == [False, False])
    assert run(url, "audit", "list")[1].count("belt slips") == 3


def test_the_status_is_printed_as_text_and_as_json(url):
    assert "preset in force: ordinary" in run(url, "status")[1]
    assert json.loads(run(url, "status", "--json")[1])["host"] == "host-1"


def test_errors_are_told_in_plain_words(url, tmp_path):
    code, _, words = run(url, "job", "wait", "aspen-parkland:none", "--team", "crew")
    assert (code, words) == (
        ExitCode.REFUSED,
        "JOB_NOT_FOUND (key): no such job\n",
    )
    (tmp_path / "job.json").write_text('{"team": "crew", "task": []}')
    code, _, words = run(url, "job", "submit", str(tmp_path / "job.json"))
    assert code == ExitCode.REFUSED
    assert "unknown field `task`" in words
    code, _, words = run(DEAD, "endpoint", "list")
    assert code == ExitCode.UNKNOWN
    assert words.startswith("no entry host answers")
    assert "Traceback" not in words


def test_exit_codes_follow_the_ranges_of_result_codes():
    for code in ResultCode:
        expected = {
            0: ExitCode.DONE,
            1: ExitCode.RUNNING,
            2: ExitCode.NOT_RUN,
            3: ExitCode.UNKNOWN,
            4: ExitCode.REFUSED,
            5: ExitCode.FAILED,
        }[code // 1000]
        if code is ResultCode.INTERNAL:
            expected = ExitCode.UNKNOWN
        assert exit_code(code) is expected


def test_a_host_that_cannot_start_says_why_in_plain_words(url, tmp_path):
    used_port = url.rpartition(":")[2]
    (tmp_path / "agreed.journal").write_bytes(b"no journal" * 10)
    for setting, reason in (
        (
            f"http_port = {used_port}",
            f"Address already in use: '127.0.0.1:{used_port}'",
        ),
        (f"data_folder = {tmp_path}", "agreed.journal: "),
        ("colour = red", "[host] colour: unknown key"),
    ):
        path = tmp_path / "host.ini"
        path.write_text(f"[host]\nid = h-1\ndata_centre = d\n{setting}\n")
        done = command("host", "run", "--settings", str(path))
        assert done.returncode in (ExitCode.FAILED, ExitCode.USAGE)
        assert reason in done.stderr.decode()
        assert b"Traceback" not in done.stderr


def test_the_log_of_a_host_tells_when_and_why_it_stopped(tmp_path):
    settings = write_settings(
        tmp_path,
        id="host-1",
        data_centre="aspen-parkland",
        data_folder=tmp_path / "data",
    )
    arguments = ("host", "run", "--settings", str(settings))
    with subprocess.Popen(
        [sys.executable, "-m", "currantwell", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    ) as host:
        assert host.stdout.readline()
        host.send_signal(signal.SIGTERM)
        _, log = host.communicate(timeout=STOP_TIMEOUT_S)
    lines = [json.loads(line) for line in log.splitlines()]
    assert all(line["unix_s"] > 0 and line["level"] for line in lines)
    names = [line["name"] for line in lines]
    expected = ["host_started", "signal_received", "host_draining", "host_stopped"]
    assert [name for name in names if name in expected] == expected
