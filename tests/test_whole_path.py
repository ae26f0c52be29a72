"""Submits jobs by the command line to a host and endpoints in separate processes."""

import json
from pathlib import Path

from tests.processes import command, one_host, wait_until

EXAMPLE = Path(__file__).parent.parent / "examples" / "check_in.json"


def submit(url, *more):
    done = command("job", "submit", str(EXAMPLE), "--url", url, *more)
    return done, json.loads(done.stdout)


def endpoints_are(host, count):
    listed = command("endpoint", "list", "--url", host.url)
    return len(listed.stdout.splitlines()) == count


def test_a_job_is_answered_whole(tmp_path):
    with one_host(tmp_path) as host:
        wait_until(lambda: endpoints_are(host, 2))
        done, answer = submit(host.url)
        assert done.returncode == 0
        assert answer["state"] == "complete"
        assert answer["results"] == [f"volunteer-{i}" for i in range(24)]


def test_a_resubmission_finds_the_first(tmp_path):
    with one_host(tmp_path) as host:
        wait_until(lambda: endpoints_are(host, 2))
        done, first = submit(host.url)
        key = done.stderr.decode().split()[-1]
        _, second = submit(host.url, "--key", key)
        assert first == second
