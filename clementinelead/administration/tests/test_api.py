"""The administration API over HTTP, with a store in memory."""

import asyncio
import hashlib

from aiohttp import test_utils
from aiohttp import web

from clementinelead.administration import api
from clementinelead.administration import limits
from clementinelead.administration import tokens
from clementinelead.configurations import adoption
from clementinelead.configurations.tests import fakes
from clementinelead.memberships import members
from clementinelead.memberships.tests import test_authentication

SERVICE = {
    "team": "consortium",
    "address": "10.9.0.1",
    "port": 43,
    "protocol": "tcp",
}


def grant(team, right, token):
    digest = hashlib.sha256(token.encode()).hexdigest()
    return tokens.parse_grant(f"{team}:{right}:{digest}")


GRANTS = (
    grant("consortium", "change", "c-change"),
    grant("consortium", "read", "c-read"),
    grant("valdivieso", "change", "v-change"),
    grant("*", "change", "all"),
)


class World:
    """A server, its store, and requests to it."""

    def __init__(self, requests_per_s=1000.0):
        self.store = fakes.FakeStore()
        self.repository = fakes.repository(self.store)
        self.adopted = adoption.ActiveConfiguration()
        self.table = members.MemberTable()
        self.table.merge(test_authentication.RECORD, 0.0)
        administration = api.Administration(
            GRANTS,
            limits.TeamRateLimiter(requests_per_s, 10.0),
            self.adopted,
            self.table,
            self.repository,
        )
        application = web.Application()
        administration.add_routes(application)
        self.server = test_utils.TestServer(application)

    async def __aenter__(self):
        self.client = test_utils.TestClient(self.server)
        await self.client.start_server()
        return self

    async def __aexit__(self, *_):
        await self.client.close()

    async def ask(self, method, path, token="c-change", body=None, **headers):
        named = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        if token:
            named["Authorization"] = f"Bearer {token}"
        async with self.client.request(
            method, path, json=body, headers=named
        ) as response:
            content = await response.json()
        await self.adopt()
        return response.status, content

    async def adopt(self):
        if self.store.down:
            return
        whole, _ = await self.repository.read_configuration()
        self.adopted.offer_snapshot(
            whole.revision, whole.entry_by_name, whole.index.drains
        )


def run(scenario, **options):
    async def supervised():
        async with World(**options) as world:
            await scenario(world)

    asyncio.run(supervised())


def test_a_service_is_added_shown_changed_and_removed():
    async def scenario(world):
        path = "/v1/services/lookups"
        status, content = await world.ask("PUT", path, body=SERVICE)
        assert (status, content["revision"]) == (200, 1)
        status, content = await world.ask("GET", path, "c-read")
        assert (status, content["port"]) == (200, 43)
        await world.ask("PUT", path, body={"max_wait_s": 7})
        status, content = await world.ask("GET", "/v1/services")
        assert content["services"]["lookups"]["max_wait_s"] == 7
        status, _ = await world.ask("DELETE", path)
        assert status == 200
        status, _ = await world.ask("GET", path)
        assert status == 404

    run(scenario)


def test_tokens_are_needed_and_their_rights_hold():
    async def scenario(world):
        path = "/v1/services/lookups"
        for token, expected in (("", 401), ("guess", 401), ("c-read", 403)):
            status, _ = await world.ask("PUT", path, token, SERVICE)
            assert status == expected
        assert not world.store.items

    run(scenario)


def test_a_team_never_sees_or_changes_another_teams_service():
    async def scenario(world):
        path = "/v1/services/lookups"
        await world.ask("PUT", path, body=SERVICE)
        status, _ = await world.ask("GET", path, "v-change")
        assert status == 404
        _, content = await world.ask("GET", "/v1/services", "v-change")
        assert content["services"] == {}
        for method, body in (("PUT", {"max_wait_s": 1}), ("DELETE", None)):
            status, _ = await world.ask(method, path, "v-change", body)
            assert status == 422
        status, content = await world.ask(
            "PUT", path, body={"team": "valdivieso"}
        )
        assert status == 422
        stolen = {**SERVICE, "team": "valdivieso"}
        status, content = await world.ask(
            "PUT", "/v1/services/scores", "v-change", stolen
        )
        assert status == 422
        assert "belongs to" in content["findings"][0]["problem"]
        _, content = await world.ask("GET", "/v1/services", "all")
        assert list(content["services"]) == ["lookups"]

    run(scenario)


def test_the_idempotency_key_makes_a_change_once():
    async def scenario(world):
        path = "/v1/services/lookups"
        for _ in range(2):
            status, content = await world.ask(
                "PUT", path, body=SERVICE, Idempotency_Key="k1"
            )
            assert (status, content["revision"]) == (200, 1)
        status, content = await world.ask("GET", "/v1/changes/k1")
        assert content == {"outcome": "accepted", "revision": 1}
        status, content = await world.ask("GET", "/v1/changes/k2")
        assert (status, content["outcome"]) == (422, "rejected")

    run(scenario)


def test_a_conditional_change_needs_its_revision():
    async def scenario(world):
        path = "/v1/services/lookups"
        await world.ask("PUT", path, body=SERVICE)
        body = {"max_wait_s": 5}
        status, _ = await world.ask("PUT", path, body=body, If_Match='"7"')
        assert status == 412
        status, _ = await world.ask("PUT", path, body=body, If_Match='"1"')
        assert status == 200

    run(scenario)


def test_all_findings_of_a_bad_body_are_told():
    async def scenario(world):
        body = {**SERVICE, "port": 0, "protocol": "sctp", "colour": "red"}
        status, content = await world.ask("PUT", "/v1/services/x", body=body)
        places = {finding["place"] for finding in content["findings"]}
        assert status == 422
        assert places == {"x.port", "x.protocol", "x.colour"}
        status, _ = await world.ask("PUT", "/v1/services/x", body=[1])
        assert status == 400

    run(scenario)


def test_reads_go_on_while_the_store_is_away(monkeypatch):
    monkeypatch.setattr(api, "CHANGE_TIMEOUT_S", 0.2)

    async def scenario(world):
        path = "/v1/services/lookups"
        await world.ask("PUT", path, body=SERVICE)
        world.store.down = True
        status, _ = await world.ask("GET", path)
        assert status == 200
        status, content = await world.ask("PUT", path, body={"max_wait_s": 5})
        assert status == 503
        assert "nothing was changed" in content["error"]
        status, _ = await world.ask("GET", "/v1/changes/k")
        assert status == 503

    run(scenario)


def test_one_team_that_asks_too_often_does_not_starve_another():
    async def scenario(world):
        statuses = [
            (await world.ask("GET", "/v1/services"))[0] for _ in range(20)
        ]
        assert 429 in statuses
        status, _ = await world.ask("GET", "/v1/services", "v-change")
        assert status == 200

    run(scenario, requests_per_s=0.001)


def test_a_team_drains_its_own_targets_only():
    async def scenario(world):
        await world.ask("PUT", "/v1/services/lookups", body=SERVICE)
        for token, target, expected in (
            ("v-change", "t1", 404),
            ("c-change", "unknown", 404),
            ("c-change", "t1", 200),
        ):
            status, _ = await world.ask(
                "PUT", f"/v1/drains/{target}", token, {"bound_s": 60}
            )
            assert status == expected
        assert world.adopted.drains["t1"].bound_s == 60
        status, _ = await world.ask("DELETE", "/v1/drains/t1")
        assert status == 200
        assert not world.adopted.drains

    run(scenario)


def test_the_description_names_every_route():
    async def scenario(world):
        status, content = await world.ask("GET", "/v1/openapi.json", "")
        served = {
            resource.canonical
            for resource in world.server.app.router.resources()
        }
        assert status == 200
        assert served - set(content["paths"]) == {"/v1/openapi.json"}

    run(scenario)
