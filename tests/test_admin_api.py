import json

import pytest
import trio

from currantwell.admin_api import AdminApi
from currantwell.auth import TokenAuthenticator, token_digest
from currantwell.codes import ResultCode
from currantwell.http_api import HttpApi, HttpParts
from currantwell.http_body import BodyBudget
from tests.asgi import ask
from tests.builders import FakeCluster

OPERATOR = {"authorization": "Bearer ada-token"}
TEAM = {"authorization": "Bearer crew-token"}


class AdminHost:
    """Operator interface of one host of a fake cluster."""

    def __init__(self, cluster, name="h-1"):
        self.cluster = cluster
        self.node = cluster.nodes[name]
        authenticator = TokenAuthenticator(
            {token_digest("crew-token"): "crew"}, {token_digest("ada-token"): "ada"}
        )
        admin = AdminApi(self.node.control, authenticator, BodyBudget())
        parts = HttpParts(authenticator, routes=tuple(admin.routes()))
        self.app = HttpApi("valdres", None, None, parts).app()

    async def get(self, path, headers=OPERATOR):
        return await ask(self.app, "GET", f"/v1/admin/{path}", headers=headers)

    async def change(self, method, path, headers=OPERATOR, **fields):
        body = {"id": "c-1", "reason": "dawn", "version": 1} | fields
        data = json.dumps(body).encode()
        return await ask(self.app, method, f"/v1/admin/{path}", data, headers)


@pytest.fixture
async def admin_host(nursery, autojump_clock):
    cluster = FakeCluster(["h-1", "h-2"])
    await nursery.start(cluster.run)
    await trio.sleep(1)
    return AdminHost(cluster)


async def test_a_change_is_planned_made_and_audited(admin_host, autojump_clock):
    plan = (await admin_host.get("presets/peak/plan")).json()
    assert (plan["before"], plan["after"], plan["version"]) == ("ordinary", "peak", 1)
    queue = {"rule": "queue_s", "before": "10.0", "after": "4.0"}
    assert queue in plan["changes"]
    reply = await admin_host.change("POST", "presets/peak/set")
    assert (reply.status, reply.code) == (200, ResultCode.COMPLETE)
    listed = (await admin_host.get("presets")).json()
    assert (listed["active"], listed["followed"], listed["version"]) == (
        "peak",
        "peak",
        2,
    )
    lost = await admin_host.change("POST", "presets/maintenance/set", id="c-2")
    assert (lost.status, lost.code) == (409, ResultCode.VERSION_CONFLICT)
    assert lost.json()["winner"]["author"] == "ada"
    found = (await admin_host.get("audit?author=ada&kind=set_preset&limit=5")).json()
    outcomes = [entry["outcome"] for entry in found["entries"]]
    assert outcomes == [ResultCode.VERSION_CONFLICT, ResultCode.ACCEPTED]
    assert (await admin_host.get("audit/verify")).json()["whole"]
    archived = (await admin_host.get("audit?archive=1")).json()["entries"]
    assert archived[-1]["number"] == 1


async def test_quotas_presets_drains_and_hosts_are_changed(admin_host, autojump_clock):
    own = {
        "name": "own",
        "queue_s": 2.0,
        "long_share": 0.5,
        "wait_faster_s": 0.0,
        "restarts_share": 0.0,
    }
    reply = await admin_host.change("PUT", "presets/own", preset=own)
    assert reply.code == ResultCode.COMPLETE
    quota = {"weight": 2.0, "max_waiting": 9}
    await admin_host.change("PUT", "quotas/crew", quota=quota, id="c-2")
    assert (await admin_host.get("quotas")).json()["quotas"] == {"crew": quota}
    await admin_host.change("POST", "endpoints/e-1/drain", id="c-3")
    assert (await admin_host.get("endpoints")).json()["drained"] == ["e-1"]
    await admin_host.change("POST", "endpoints/e-1/resume", id="c-4", version=2)
    assert (await admin_host.get("endpoints")).json()["drained"] == []
    hosts = (await admin_host.get("hosts")).json()["hosts"]
    assert [(h["host"], h["leads"]) for h in hosts] == [("h-1", True), ("h-2", False)]
    reply = await admin_host.change("POST", "hosts/h-2/remove", id="c-5")
    assert reply.code == ResultCode.COMPLETE
    assert len((await admin_host.get("hosts")).json()["hosts"]) == 1
    assert (await admin_host.get("views")).json()["views"]["valdres"][
        "primary"
    ] == "h-1"


@pytest.mark.parametrize("headers", [{}, TEAM], ids=["no one", "a team"])
async def test_only_operators_may(admin_host, headers, autojump_clock):
    assert (await admin_host.get("presets", headers)).code == ResultCode.NOT_AUTHORIZED
    reply = await admin_host.change("POST", "presets/peak/set", headers)
    assert reply.code == ResultCode.NOT_AUTHORIZED
    assert admin_host.node.state.image.proposed is None


@pytest.mark.parametrize(
    ("method", "path", "fields", "code"),
    [
        ("POST", "presets/peak/set", {"reason": ""}, ResultCode.BAD_FIELD),
        ("POST", "presets/peak/set", {"id": "a b"}, ResultCode.BAD_FIELD),
        ("POST", "presets/peak/set", {"version": "1"}, ResultCode.BAD_BODY),
        ("POST", "presets/peak/set", {"author": "bo"}, ResultCode.BAD_BODY),
        ("POST", "presets/peak/set", {"version": 2**70}, ResultCode.BAD_BODY),
        ("PUT", "quotas/crew", {"quota": {"max_waiting": 2**70}}, ResultCode.BAD_BODY),
        ("POST", "presets/none/set", {}, ResultCode.NOT_FOUND),
        ("PUT", "quotas/crew", {"quota": {"weight": -1}}, ResultCode.BAD_FIELD),
        ("POST", "hosts/h-9/remove", {}, ResultCode.NOT_FOUND),
    ],
)
async def test_what_can_not_be_done_is_refused(
    admin_host, method, path, fields, code, autojump_clock
):
    assert (await admin_host.change(method, path, **fields)).code == code


async def test_bad_questions_are_refused(admin_host, autojump_clock):
    assert (await admin_host.get("presets/none/plan")).code == ResultCode.NOT_FOUND
    assert (await admin_host.get("audit?limit=x")).code == ResultCode.BAD_FIELD


async def test_a_host_that_is_cut_off_says_so_and_accepts_nothing(
    admin_host, autojump_clock
):
    admin_host.cluster.leader, admin_host.cluster.cut = "h-2", {"h-1"}
    await trio.sleep(2)
    reply = (await admin_host.get("presets")).json()
    assert not reply["current"]
    assert reply["followed"] == "floor"
    reply = await admin_host.change("POST", "presets/peak/set")
    assert reply.code == ResultCode.UNKNOWN_NOT_CONFIRMED
