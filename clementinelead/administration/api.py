"""HTTP interface of the administration API, served by the balancers."""

import collections.abc
import dataclasses
import json
import time
import typing
import uuid

from aiohttp import web
import loguru

from clementinelead import exceptions
from clementinelead.administration import limits
from clementinelead.administration import openapi
from clementinelead.administration import tokens
from clementinelead.configurations import adoption
from clementinelead.configurations import drafts
from clementinelead.configurations import edits
from clementinelead.configurations import models
from clementinelead.configurations import repositories
from clementinelead.memberships import members

__all__ = ["Administration"]

CHANGE_TIMEOUT_S = 8.0
STORE_RETRY_AFTER_S = 2
MAX_BODY_BYTES = 64 * 1024
_BEARER_PREFIX = "Bearer "


class Administration:
    """Handlers of the administration API.

    They read from the configuration in force, so that reads succeed while
    the store is unavailable, and commit changes to the store. A team can
    read and change only its own services: reads omit those of other teams,
    and changes of them are rejected.
    """

    def __init__(
        self,
        grants: tuple[tokens.Grant, ...],
        rate_limiter: limits.TeamRateLimiter,
        active: adoption.ActiveConfiguration,
        member_table: members.MemberTable,
        repository: repositories.Repository,
    ):
        self._grants = grants
        self._rate_limiter = rate_limiter
        self._active = active
        self._member_table = member_table
        self._repository = repository

    def add_routes(self, application: web.Application) -> None:
        """Adds the API's routes to an HTTP application."""
        router = application.router
        router.add_get("/v1/openapi.json", self._get_openapi)
        router.add_get("/v1/services", self._list_services)
        router.add_get("/v1/services/{name}", self._get_service)
        router.add_put("/v1/services/{name}", self._put_service)
        router.add_delete("/v1/services/{name}", self._remove_service)
        router.add_put("/v1/drains/{target}", self._drain_target)
        router.add_delete("/v1/drains/{target}", self._undrain_target)
        router.add_get("/v1/evacuations", self._list_evacuations)
        router.add_put("/v1/evacuations/{zone}", self._evacuate_zone)
        router.add_delete("/v1/evacuations/{zone}", self._restore_zone)
        router.add_get("/v1/changes/{change}", self._settle_change)

    async def _get_openapi(self, _: web.Request) -> web.Response:
        return web.json_response(openapi.build_description())

    async def _list_services(self, request: web.Request) -> web.Response:
        grant = self._authorize(request, tokens.Right.READ)
        services = {
            name: _service_json(entry)
            for name, entry in sorted(self._active.entry_by_name.items())
            if grant.covers_team(entry.service.team)
        }
        return self._respond({"services": services})

    async def _get_service(self, request: web.Request) -> web.Response:
        grant = self._authorize(request, tokens.Right.READ)
        entry = self._active.entry_by_name.get(request.match_info["name"])
        if entry is None or not grant.covers_team(entry.service.team):
            raise _http_error(web.HTTPNotFound, "there is no such service")
        return self._respond(_service_json(entry))

    async def _settle_change(self, request: web.Request) -> web.Response:
        self._authorize(request, tokens.Right.CHANGE)
        try:
            outcome = await self._repository.settle(
                request.match_info["change"]
            )
        except exceptions.StoreUnavailableError as error:
            raise _store_unavailable(error) from error
        return self._respond_with_outcome(outcome)

    async def _put_service(self, request: web.Request) -> web.Response:
        grant = self._authorize(request, tokens.Right.CHANGE)
        name = request.match_info["name"]
        values = await _read_json_object(request)

        def make_edit(author: models.Author) -> repositories.Edit:
            edit = edits.set_edit(name, values, author)
            return _restrict_to_grant(edit, grant, name)

        return await self._apply_change(request, grant, make_edit)

    async def _remove_service(self, request: web.Request) -> web.Response:
        grant = self._authorize(request, tokens.Right.CHANGE)
        name = request.match_info["name"]

        def make_edit(author: models.Author) -> repositories.Edit:
            return _restrict_to_grant(
                edits.remove_edit(name, author), grant, name
            )

        return await self._apply_change(request, grant, make_edit)

    async def _drain_target(self, request: web.Request) -> web.Response:
        grant = self._authorize(request, tokens.Right.CHANGE)
        target = request.match_info["target"]
        self._check_target(target, grant)
        values = await _read_json_object(request)
        value = values.get("bound_s")
        bound_s: float | None = None
        if isinstance(value, int | float) and value >= 0:
            bound_s = float(value)
        elif value is not None:
            finding = exceptions.Finding("bound_s", "is not a time", "seconds")
            return self._respond_with_outcome(repositories.Rejected((finding,)))
        return await self._apply_change(
            request,
            grant,
            lambda author: edits.drain_edit(target, bound_s, author),
        )

    async def _undrain_target(self, request: web.Request) -> web.Response:
        grant = self._authorize(request, tokens.Right.CHANGE)
        target = request.match_info["target"]
        self._check_target(target, grant)
        return await self._apply_change(
            request, grant, lambda _: edits.undrain_edit(target)
        )

    async def _list_evacuations(self, request: web.Request) -> web.Response:
        self._authorize(request, tokens.Right.READ)
        evacuations = {
            zone: evacuation.author.model_dump(mode="json")
            for zone, evacuation in sorted(self._active.evacuations.items())
        }
        return self._respond({"evacuations": evacuations})

    async def _evacuate_zone(self, request: web.Request) -> web.Response:
        grant = self._authorize_all_teams(request)
        zone = request.match_info["zone"]
        return await self._apply_change(
            request, grant, lambda author: edits.evacuate_edit(zone, author)
        )

    async def _restore_zone(self, request: web.Request) -> web.Response:
        grant = self._authorize_all_teams(request)
        zone = request.match_info["zone"]
        return await self._apply_change(
            request, grant, lambda _: edits.restore_edit(zone)
        )

    async def _apply_change(
        self,
        request: web.Request,
        grant: tokens.Grant,
        make_edit: collections.abc.Callable[[models.Author], repositories.Edit],
    ) -> web.Response:
        author = models.Author(
            change=request.headers.get("Idempotency-Key", str(uuid.uuid4())),
            operator=request.headers.get("X-Operator", f"team {grant.team}"),
            shift=request.headers.get("X-Shift", "api"),
            time=time.time(),
            reason=request.headers.get("X-Reason", ""),
        )
        edit = make_edit(author)
        expected = request.headers.get("If-Match", "").strip('"')
        if expected:
            edit = _require_revision(edit, expected)
        try:
            outcome = await self._repository.change(
                edit, author, CHANGE_TIMEOUT_S
            )
        except _RevisionMismatchError as error:
            raise _http_error(web.HTTPPreconditionFailed, str(error)) from error
        loguru.logger.info(
            "change id={} team={} outcome={}",
            author.change,
            grant.team,
            type(outcome).__name__.lower(),
        )
        return self._respond_with_outcome(outcome)

    def _authorize(
        self, request: web.Request, right: tokens.Right
    ) -> tokens.Grant:
        """Authenticates a request and returns a grant with the needed right.

        Raises:
            web.HTTPException: The token is missing or unknown, lacks the
                right, or the team's rate limit is exceeded.
        """
        header = request.headers.get("Authorization", "")
        grants: tuple[tokens.Grant, ...] = ()
        if header.startswith(_BEARER_PREFIX):
            token = header.removeprefix(_BEARER_PREFIX)
            grants = tokens.matching_grants(token, self._grants)
        if not grants:
            raise _http_error(
                web.HTTPUnauthorized, "the token is missing or unknown"
            )
        wait_s = self._rate_limiter.admit(grants[0].team, time.monotonic())
        if wait_s > 0:
            raise _http_error(
                web.HTTPTooManyRequests,
                "the team's rate limit is exceeded",
                {"Retry-After": str(max(1, round(wait_s)))},
            )
        for grant in grants:
            if grant.right >= right:
                return grant
        raise _http_error(
            web.HTTPForbidden, "the token does not permit changes"
        )

    def _authorize_all_teams(self, request: web.Request) -> tokens.Grant:
        """Returns a grant to change what concerns all teams, such as a zone.

        Raises:
            web.HTTPException: As ``_authorize`` does, or the grant is limited
                to one team.
        """
        grant = self._authorize(request, tokens.Right.CHANGE)
        if grant.team != tokens.ALL_TEAMS:
            raise _http_error(
                web.HTTPForbidden, "a zone concerns all teams; the token one"
            )
        return grant

    def _check_target(self, target: str, grant: tokens.Grant) -> None:
        """Checks that a target serves only services that the grant covers.

        Raises:
            web.HTTPException: The target is unknown or serves a service of
                another team.
        """
        record = self._member_table.by_id.get(target)
        entries = self._active.entry_by_name
        teams = {
            entries[name].service.team
            for name in (record.services if record else ())
            if name in entries
        }
        if not teams or not all(grant.covers_team(team) for team in teams):
            raise _http_error(web.HTTPNotFound, "there is no such target")

    def _respond(self, content: dict[str, typing.Any]) -> web.Response:
        revision = self._active.revision
        return web.json_response(
            {"revision": revision, **content},
            headers={"ETag": f'"{revision}"'},
        )

    def _respond_with_outcome(
        self, outcome: repositories.ChangeOutcome
    ) -> web.Response:
        match outcome:
            case repositories.Accepted(revision):
                content = {"outcome": "accepted", "revision": revision}
                return web.json_response(content)
            case repositories.Unknown(change):
                path = f"/v1/changes/{change}"
                return web.json_response(
                    {"outcome": "unknown", "settle": path}, status=202
                )
            case repositories.Rejected(findings):
                reported = [dataclasses.asdict(finding) for finding in findings]
                if any(finding.place == "store" for finding in findings):
                    raise _store_unavailable(None)
                return web.json_response(
                    {"outcome": "rejected", "findings": reported}, status=422
                )


class _RevisionMismatchError(exceptions.ClementineleadError):
    """The revision in force is not the one that ``If-Match`` requires."""


def _service_json(entry: models.Entry) -> dict[str, typing.Any]:
    values = entry.service.model_dump(mode="json")
    content = {**values, "by_hand": sorted(entry.by_hand)}
    if entry.ends_at is not None:
        content["ends_at"] = entry.ends_at
    return content


def _http_error(
    error_class: type[web.HTTPException],
    text: str,
    headers: dict[str, str] | None = None,
) -> web.HTTPException:
    return error_class(
        text=json.dumps({"error": text}),
        content_type="application/json",
        headers=headers,
    )


def _store_unavailable(error: Exception | None) -> web.HTTPException:
    detail = f": {error}" if error else "; nothing was changed"
    return _http_error(
        web.HTTPServiceUnavailable,
        f"the store is away{detail}",
        {"Retry-After": str(STORE_RETRY_AFTER_S)},
    )


async def _read_json_object(request: web.Request) -> dict[str, object]:
    """Returns the JSON object in a request's body, empty without a body.

    Raises:
        web.HTTPException: The body is not a JSON object or is larger than
            ``MAX_BODY_BYTES``.
    """
    data = await request.content.read(MAX_BODY_BYTES + 1)
    if len(data) > MAX_BODY_BYTES:
        raise _http_error(
            web.HTTPBadRequest, f"more than {MAX_BODY_BYTES} bytes"
        )
    try:
        content = json.loads(data or b"{}")
    except (ValueError, RecursionError) as error:
        raise _http_error(web.HTTPBadRequest, f"not JSON: {error}") from error
    if not isinstance(content, dict):
        raise _http_error(web.HTTPBadRequest, "not a JSON object")
    return content


def _restrict_to_grant(
    edit: repositories.Edit, grant: tokens.Grant, name: str
) -> repositories.Edit:
    """Restricts an edit to the services that a grant covers.

    Args:
        edit: Edit of the service.
        grant: Grant of the request.
        name: Name of the service.

    Returns:
        An edit that rejects the change if the service belongs to another
        team, before or after the edit.
    """

    def checked_edit(configuration: models.Configuration) -> drafts.Draft:
        before = configuration.entry_by_name.get(name)
        if before is not None and not grant.covers_team(before.service.team):
            finding = exceptions.Finding(name, "the name is taken")
            raise exceptions.FindingsError((finding,))
        draft = edit(configuration)
        after = draft.entry_by_name.get(name)
        if after is not None and not grant.covers_team(after.service.team):
            finding = exceptions.Finding(
                f"{name}.team", "is another team", grant.team
            )
            raise exceptions.FindingsError((finding,))
        return draft

    return checked_edit


def _require_revision(
    edit: repositories.Edit, expected: str
) -> repositories.Edit:
    """Returns an edit that fails unless a given revision is in force.

    The edit raises ``_RevisionMismatchError`` at any other revision.
    """

    def checked_edit(configuration: models.Configuration) -> drafts.Draft:
        if str(configuration.revision) != expected:
            raise _RevisionMismatchError(
                f"revision {configuration.revision} is in force, not {expected}"
            )
        return edit(configuration)

    return checked_edit
