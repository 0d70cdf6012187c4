"""Tests the administration API over HTTP with an in-memory store."""

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


def make_grant(team, right, token):
    digest = hashlib.sha256(token.encode()).hexdigest()
    return tokens.parse_grant(f"{team}:{right}:{digest}")


GRANTS = (
    make_grant("consortium", "change", "c-change"),
    make_grant("consortium", "read", "c-read"),
    make_grant("valdivieso", "change", "v-change"),
    make_grant("*", "change", "all"),
)


class ApiServer:
    """An API server with its store, and a client for requests to it."""

    def __init__(self, requests_per_s=1000.0):
        self.store = fakes.FakeStore()
        self.repository = fakes.repository(self.store)
        self.active = adoption.ActiveConfiguration()
        self.table = members.MemberTable()
        self.table.merge(test_authentication.RECORD, 0.0)
        administration = api.Administration(
            GRANTS,
            limits.TeamRateLimiter(requests_per_s, 10.0),
            self.active,
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

    async def request(
        self, method, path, token="c-change", body=None, **headers
    ):
        sent_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        if token:
            sent_headers["Authorization"] = f"Bearer {token}"
        async with self.client.request(
            method, path, json=body, headers=sent_headers
        ) as response:
            content = await response.json()
        await self.update_active()
        return response.status, content

    async def update_active(self):
        if self.store.down:
            return
        configuration, _ = await self.repository.read_configuration()
        self.active.offer_snapshot(
            configuration.revision,
            configuration.entry_by_name,
            configuration.index.drains,
            configuration.index.evacuations,
        )


def run(scenario, **options):
    async def supervised():
        async with ApiServer(**options) as api_server:
            await scenario(api_server)

    asyncio.run(supervised())


def test_service_is_added_read_changed_and_removed():
    async def scenario(api_server):
        path = "/v1/services/lookups"
        status, content = await api_server.request("PUT", path, body=SERVICE)
        assert (status, content["revision"]) == (200, 1)
        status, content = await api_server.request("GET", path, "c-read")
        assert (status, content["port"]) == (200, 43)
        await api_server.request("PUT", path, body={"max_wait_s": 7})
        status, content = await api_server.request("GET", "/v1/services")
        assert content["services"]["lookups"]["max_wait_s"] == 7
        status, _ = await api_server.request("DELETE", path)
        assert status == 200
        status, _ = await api_server.request("GET", path)
        assert status == 404

    run(scenario)


def test_change_without_a_token_with_the_change_right_is_refused():
    async def scenario(api_server):
        path = "/v1/services/lookups"
        for token, expected in (("", 401), ("guess", 401), ("c-read", 403)):
            status, _ = await api_server.request("PUT", path, token, SERVICE)
            assert status == expected
        assert not api_server.store.items

    run(scenario)


def test_team_can_not_read_or_change_the_service_of_another_team():
    async def scenario(api_server):
        path = "/v1/services/lookups"
        await api_server.request("PUT", path, body=SERVICE)
        status, _ = await api_server.request("GET", path, "v-change")
        assert status == 404
        _, content = await api_server.request("GET", "/v1/services", "v-change")
        assert content["services"] == {}
        for method, body in (("PUT", {"max_wait_s": 1}), ("DELETE", None)):
            status, _ = await api_server.request(method, path, "v-change", body)
            assert status == 422
        status, content = await api_server.request(
            "PUT", path, body={"team": "valdivieso"}
        )
        assert status == 422
        stolen = {**SERVICE, "team": "valdivieso"}
        status, content = await api_server.request(
            "PUT", "/v1/services/scores", "v-change", stolen
        )
        assert status == 422
        assert "belongs to" in content["findings"][0]["problem"]
        _, content = await api_server.request("GET", "/v1/services", "all")
        assert list(content["services"]) == ["lookups"]

    run(scenario)


def test_change_with_a_repeated_idempotency_key_is_applied_once():
    async def scenario(api_server):
        path = "/v1/services/lookups"
        for _ in range(2):
            status, content = await api_server.request(
                "PUT", path, body=SERVICE, Idempotency_Key="k1"
            )
            assert (status, content["revision"]) == (200, 1)
        status, content = await api_server.request("GET", "/v1/changes/k1")
        assert content == {"outcome": "accepted", "revision": 1}
        status, content = await api_server.request("GET", "/v1/changes/k2")
        assert (status, content["outcome"]) == (422, "rejected")

    run(scenario)


def test_conditional_change_fails_at_another_revision():
    async def scenario(api_server):
        path = "/v1/services/lookups"
        await api_server.request("PUT", path, body=SERVICE)
        body = {"max_wait_s": 5}
        status, _ = await api_server.request(
            "PUT", path, body=body, If_Match='"7"'
        )
        assert status == 412
        status, _ = await api_server.request(
            "PUT", path, body=body, If_Match='"1"'
        )
        assert status == 200

    run(scenario)


def test_all_findings_on_an_invalid_body_are_returned():
    async def scenario(api_server):
        body = {**SERVICE, "port": 0, "protocol": "sctp", "colour": "red"}
        status, content = await api_server.request(
            "PUT", "/v1/services/x", body=body
        )
        places = {finding["place"] for finding in content["findings"]}
        assert status == 422
        assert places == {"x.port", "x.protocol", "x.colour"}
        status, _ = await api_server.request("PUT", "/v1/services/x", body=[1])
        assert status == 400

    run(scenario)


def test_reads_succeed_while_the_store_is_unavailable(monkeypatch):
    monkeypatch.setattr(api, "CHANGE_TIMEOUT_S", 0.2)

    async def scenario(api_server):
        path = "/v1/services/lookups"
        await api_server.request("PUT", path, body=SERVICE)
        api_server.store.down = True
        status, _ = await api_server.request("GET", path)
        assert status == 200
        status, content = await api_server.request(
            "PUT", path, body={"max_wait_s": 5}
        )
        assert status == 503
        assert "nothing was changed" in content["error"]
        status, _ = await api_server.request("GET", "/v1/changes/k")
        assert status == 503

    run(scenario)


def test_rate_limit_of_one_team_does_not_affect_another():
    async def scenario(api_server):
        statuses = [
            (await api_server.request("GET", "/v1/services"))[0]
            for _ in range(20)
        ]
        assert 429 in statuses
        status, _ = await api_server.request("GET", "/v1/services", "v-change")
        assert status == 200

    run(scenario, requests_per_s=0.001)


def test_team_can_drain_only_its_own_targets():
    async def scenario(api_server):
        await api_server.request("PUT", "/v1/services/lookups", body=SERVICE)
        for token, target, expected in (
            ("v-change", "t1", 404),
            ("c-change", "unknown", 404),
            ("c-change", "t1", 200),
        ):
            status, _ = await api_server.request(
                "PUT", f"/v1/drains/{target}", token, {"bound_s": 60}
            )
            assert status == expected
        assert api_server.active.drains["t1"].bound_s == 60
        status, _ = await api_server.request("DELETE", "/v1/drains/t1")
        assert status == 200
        assert not api_server.active.drains

    run(scenario)


def test_only_a_grant_for_all_teams_evacuates_a_zone():
    async def scenario(api_server):
        path = "/v1/evacuations/north-a"
        status, _ = await api_server.request("PUT", path, "c-change")
        assert status == 403
        assert not api_server.active.evacuations
        status, _ = await api_server.request(
            "PUT", path, "all", X_Operator="ana", X_Reason="power work"
        )
        assert status == 200
        status, content = await api_server.request(
            "GET", "/v1/evacuations", "c-read"
        )
        author = content["evacuations"]["north-a"]
        assert author["operator"] == "ana"
        assert author["reason"] == "power work"
        status, _ = await api_server.request("DELETE", path, "all")
        assert status == 200
        assert not api_server.active.evacuations

    run(scenario)


def test_evacuation_with_an_invalid_zone_or_without_need_is_rejected():
    async def scenario(api_server):
        for method, zone in (("PUT", "North A"), ("DELETE", "north-a")):
            status, content = await api_server.request(
                method, f"/v1/evacuations/{zone}", "all"
            )
            assert status == 422
            assert content["findings"]

    run(scenario)


def test_openapi_description_lists_every_route():
    async def scenario(api_server):
        status, content = await api_server.request(
            "GET", "/v1/openapi.json", ""
        )
        served = {
            resource.canonical
            for resource in api_server.server.app.router.resources()
        }
        assert status == 200
        assert served - set(content["paths"]) == {"/v1/openapi.json"}

    run(scenario)
