import msgspec
import pytest
import trio

from currantwell.admin_api import AdminApi
from currantwell.auth import TokenAuthenticator, hash_of
from currantwell.codes import ResultCode
from currantwell.http_api import HttpApi, HttpParts
from currantwell.http_body import BodyBudget
from tests.asgi import ask
from tests.builders import FakeCluster

OPERATOR = {"authorization": "Bearer ada-token"}
TEAM = {"authorization": "Bearer crew-token"}


class Desk:
    """Operator interface of one host of a fake cluster."""

    def __init__(self, cluster, name="h-1"):
        self.cluster = cluster
        self.node = cluster.nodes[name]
        known = TokenAuthenticator(
            {hash_of("crew-token"): "crew"}, {hash_of("ada-token"): "ada"}
        )
        admin = AdminApi(self.node.control, known, BodyBudget())
        parts = HttpParts(known, routes=tuple(admin.routes()))
        self.app = HttpApi("valdres", None, None, parts).app()

    async def get(self, path, headers=OPERATOR):
        return await ask(self.app, "GET", f"/v1/admin/{path}", headers=headers)

    async def change(self, method, path, headers=OPERATOR, **fields):
        body = {"id": "c-1", "reason": "dawn", "version": 1} | fields
        data = msgspec.json.encode(body)
        return await ask(self.app, method, f"/v1/admin/{path}", data, headers)


@pytest.fixture
async def desk(nursery, autojump_clock):
    cluster = FakeCluster(["h-1", "h-2"])
    await nursery.start(cluster.run)
    await trio.sleep(1)
    return Desk(cluster)


async def test_a_change_is_planned_made_and_audited(desk, autojump_clock):
    plan = (await desk.get("presets/peak/plan")).json()
    assert (plan["before"], plan["after"], plan["version"]) == ("ordinary", "peak", 1)
    queue = {"rule": "queue_s", "before": "10.0", "after": "4.0"}
    assert queue in plan["changes"]
    made = await desk.change("POST", "presets/peak/set")
    assert (made.status, made.code) == (200, ResultCode.COMPLETE)
    listed = (await desk.get("presets")).json()
    assert (listed["active"], listed["followed"], listed["version"]) == (
        "peak",
        "peak",
        2,
    )
    lost = await desk.change("POST", "presets/maintenance/set", id="c-2")
    assert (lost.status, lost.code) == (409, ResultCode.VERSION_CONFLICT)
    assert lost.json()["winner"]["author"] == "ada"
    found = (await desk.get("audit?author=ada&kind=set_preset&limit=5")).json()
    outcomes = [entry["outcome"] for entry in found["entries"]]
    assert outcomes == [ResultCode.VERSION_CONFLICT, ResultCode.ACCEPTED]
    assert (await desk.get("audit/verify")).json()["whole"]
    archived = (await desk.get("audit?archive=1")).json()["entries"]
    assert archived[-1]["number"] == 1


async def test_quotas_presets_drains_and_hosts_are_changed(desk, autojump_clock):
    own = {
        "name": "own",
        "queue_s": 2.0,
        "long_share": 0.5,
        "wait_faster_s": 0.0,
        "restarts_share": 0.0,
    }
    told = await desk.change("PUT", "presets/own", preset=own)
    assert told.code == ResultCode.COMPLETE
    quota = {"weight": 2.0, "max_waiting": 9}
    await desk.change("PUT", "quotas/crew", quota=quota, id="c-2")
    assert (await desk.get("quotas")).json()["quotas"] == {"crew": quota}
    await desk.change("POST", "endpoints/e-1/drain", id="c-3")
    assert (await desk.get("endpoints")).json()["drained"] == ["e-1"]
    await desk.change("POST", "endpoints/e-1/resume", id="c-4", version=2)
    assert (await desk.get("endpoints")).json()["drained"] == []
    hosts = (await desk.get("hosts")).json()["hosts"]
    assert [(h["host"], h["leads"]) for h in hosts] == [("h-1", True), ("h-2", False)]
    told = await desk.change("POST", "hosts/h-2/remove", id="c-5")
    assert told.code == ResultCode.COMPLETE
    assert len((await desk.get("hosts")).json()["hosts"]) == 1
    assert (await desk.get("views")).json()["views"]["valdres"]["primary"] == "h-1"


@pytest.mark.parametrize("headers", [{}, TEAM], ids=["no one", "a team"])
async def test_only_operators_may(desk, headers, autojump_clock):
    assert (await desk.get("presets", headers)).code == ResultCode.NOT_AUTHORIZED
    told = await desk.change("POST", "presets/peak/set", headers)
    assert told.code == ResultCode.NOT_AUTHORIZED
    assert desk.node.state.image.proposed is None


@pytest.mark.parametrize(
    ("method", "path", "fields", "code"),
    [
        ("POST", "presets/peak/set", {"reason": ""}, ResultCode.BAD_FIELD),
        ("POST", "presets/peak/set", {"id": "a b"}, ResultCode.BAD_FIELD),
        ("POST", "presets/peak/set", {"version": "1"}, ResultCode.BAD_BODY),
        ("POST", "presets/peak/set", {"author": "bo"}, ResultCode.BAD_BODY),
        ("POST", "presets/none/set", {}, ResultCode.NOT_FOUND),
        ("PUT", "quotas/crew", {"quota": {"weight": -1}}, ResultCode.BAD_FIELD),
        ("POST", "hosts/h-9/remove", {}, ResultCode.NOT_FOUND),
    ],
)
async def test_what_can_not_be_done_is_refused(
    desk, method, path, fields, code, autojump_clock
):
    assert (await desk.change(method, path, **fields)).code == code


async def test_bad_questions_are_refused(desk, autojump_clock):
    assert (await desk.get("presets/none/plan")).code == ResultCode.NOT_FOUND
    assert (await desk.get("audit?limit=x")).code == ResultCode.BAD_FIELD


async def test_a_host_that_is_cut_off_says_so_and_accepts_nothing(desk, autojump_clock):
    desk.cluster.leader, desk.cluster.cut = "h-2", {"h-1"}
    await trio.sleep(2)
    told = (await desk.get("presets")).json()
    assert not told["current"]
    assert told["followed"] == "floor"
    made = await desk.change("POST", "presets/peak/set")
    assert made.code == ResultCode.UNKNOWN_NOT_CONFIRMED
