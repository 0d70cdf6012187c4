"""HTTP interface of the administration, served by the balancers."""

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
_SCHEME = "Bearer "


class Administration:
    """Reads from the configuration in force, changes it through the store.

    A team sees and changes its own services only; to others they do not
    exist. Reads go on while the store is away.
    """

    def __init__(
        self,
        grants: tuple[tokens.Grant, ...],
        team_limits: limits.TeamRateLimiter,
        adopted: adoption.ActiveConfiguration,
        table: members.MemberTable,
        repository: repositories.Repository,
    ):
        self._grants = grants
        self._limits = team_limits
        self._adopted = adopted
        self._table = table
        self._repository = repository

    def add_routes(self, application: web.Application) -> None:
        """Adds the interface to a process's HTTP application."""
        router = application.router
        router.add_get("/v1/openapi.json", self._openapi)
        router.add_get("/v1/services", self._list)
        router.add_get("/v1/services/{name}", self._get)
        router.add_put("/v1/services/{name}", self._put)
        router.add_delete("/v1/services/{name}", self._remove)
        router.add_put("/v1/drains/{target}", self._drain)
        router.add_delete("/v1/drains/{target}", self._undrain)
        router.add_get("/v1/changes/{change}", self._settle)

    # Reads.

    async def _openapi(self, _: web.Request) -> web.Response:
        return web.json_response(openapi.build_description())

    async def _list(self, request: web.Request) -> web.Response:
        grant = self._allowed(request, tokens.Right.READ)
        services = {
            name: _shown(entry)
            for name, entry in sorted(self._adopted.entry_by_name.items())
            if grant.covers_team(entry.service.team)
        }
        return self._answer({"services": services})

    async def _get(self, request: web.Request) -> web.Response:
        grant = self._allowed(request, tokens.Right.READ)
        entry = self._adopted.entry_by_name.get(request.match_info["name"])
        if entry is None or not grant.covers_team(entry.service.team):
            raise _error(web.HTTPNotFound, "there is no such service")
        return self._answer(_shown(entry))

    async def _settle(self, request: web.Request) -> web.Response:
        self._allowed(request, tokens.Right.CHANGE)
        try:
            outcome = await self._repository.settle(
                request.match_info["change"]
            )
        except exceptions.StoreUnavailableError as error:
            raise _store_away(error) from error
        return self._outcome(outcome)

    # Changes.

    async def _put(self, request: web.Request) -> web.Response:
        grant = self._allowed(request, tokens.Right.CHANGE)
        name = request.match_info["name"]
        values = await _body(request)

        def make(author: models.Author) -> repositories.Edit:
            edit = edits.set_edit(name, values, author)
            return _for_team(edit, grant, name)

        return await self._change(request, grant, make)

    async def _remove(self, request: web.Request) -> web.Response:
        grant = self._allowed(request, tokens.Right.CHANGE)
        name = request.match_info["name"]

        def make(author: models.Author) -> repositories.Edit:
            return _for_team(edits.remove_edit(name, author), grant, name)

        return await self._change(request, grant, make)

    async def _drain(self, request: web.Request) -> web.Response:
        grant = self._allowed(request, tokens.Right.CHANGE)
        target = request.match_info["target"]
        self._check_target(target, grant)
        values = await _body(request)
        given = values.get("bound_s")
        bound: float | None = None
        if isinstance(given, int | float) and given >= 0:
            bound = float(given)
        elif given is not None:
            finding = exceptions.Finding("bound_s", "is not a time", "seconds")
            return self._outcome(repositories.Rejected((finding,)))
        return await self._change(
            request,
            grant,
            lambda author: edits.drain_edit(target, bound, author),
        )

    async def _undrain(self, request: web.Request) -> web.Response:
        grant = self._allowed(request, tokens.Right.CHANGE)
        target = request.match_info["target"]
        self._check_target(target, grant)
        return await self._change(
            request, grant, lambda _: edits.undrain_edit(target)
        )

    async def _change(
        self,
        request: web.Request,
        grant: tokens.Grant,
        make: collections.abc.Callable[[models.Author], repositories.Edit],
    ) -> web.Response:
        author = models.Author(
            change=request.headers.get("Idempotency-Key", str(uuid.uuid4())),
            operator=request.headers.get("X-Operator", f"team {grant.team}"),
            shift=request.headers.get("X-Shift", "api"),
            time=time.time(),
            reason=request.headers.get("X-Reason", ""),
        )
        edit = make(author)
        expected = request.headers.get("If-Match", "").strip('"')
        if expected:
            edit = _at_revision(edit, expected)
        try:
            outcome = await self._repository.change(
                edit, author, CHANGE_TIMEOUT_S
            )
        except _RevisionMismatchError as error:
            raise _error(web.HTTPPreconditionFailed, str(error)) from error
        loguru.logger.info(
            "change id={} team={} outcome={}",
            author.change,
            grant.team,
            type(outcome).__name__.lower(),
        )
        return self._outcome(outcome)

    # Helpers.

    def _allowed(
        self, request: web.Request, right: tokens.Right
    ) -> tokens.Grant:
        """Returns the grant of a request's token.

        Raises:
            web.HTTPException: It has none, or the team asks too often.
        """
        header = request.headers.get("Authorization", "")
        grants: tuple[tokens.Grant, ...] = ()
        if header.startswith(_SCHEME):
            token = header.removeprefix(_SCHEME)
            grants = tokens.matching_grants(token, self._grants)
        if not grants:
            raise _error(
                web.HTTPUnauthorized, "the token is missing or unknown"
            )
        wait_s = self._limits.admit(grants[0].team, time.monotonic())
        if wait_s > 0:
            raise _error(
                web.HTTPTooManyRequests,
                "the team asks too often",
                {"Retry-After": str(max(1, round(wait_s)))},
            )
        for grant in grants:
            if grant.right >= right:
                return grant
        raise _error(web.HTTPForbidden, "the token does not allow changes")

    def _check_target(self, target: str, grant: tokens.Grant) -> None:
        """Checks that a target serves the team's services only.

        Raises:
            web.HTTPException: It does not, or is unknown.
        """
        record = self._table.by_id.get(target)
        entries = self._adopted.entry_by_name
        teams = {
            entries[name].service.team
            for name in (record.services if record else ())
            if name in entries
        }
        if not teams or not all(grant.covers_team(team) for team in teams):
            raise _error(web.HTTPNotFound, "there is no such target")

    def _answer(self, content: dict[str, typing.Any]) -> web.Response:
        revision = self._adopted.revision
        return web.json_response(
            {"revision": revision, **content},
            headers={"ETag": f'"{revision}"'},
        )

    def _outcome(self, outcome: repositories.ChangeOutcome) -> web.Response:
        match outcome:
            case repositories.Accepted(revision):
                content = {"outcome": "accepted", "revision": revision}
                return web.json_response(content)
            case repositories.Unknown(change):
                settle = f"/v1/changes/{change}"
                return web.json_response(
                    {"outcome": "unknown", "settle": settle}, status=202
                )
            case repositories.Rejected(findings):
                places = [dataclasses.asdict(finding) for finding in findings]
                if any(finding.place == "store" for finding in findings):
                    raise _store_away(None)
                return web.json_response(
                    {"outcome": "rejected", "findings": places}, status=422
                )


class _RevisionMismatchError(exceptions.ClementineleadError):
    """The configuration is not at the revision that a change is for."""


def _shown(entry: models.Entry) -> dict[str, typing.Any]:
    content = entry.service.model_dump(mode="json")
    shown = {**content, "by_hand": sorted(entry.by_hand)}
    if entry.ends_at is not None:
        shown["ends_at"] = entry.ends_at
    return shown


def _error(
    kind: type[web.HTTPException],
    text: str,
    headers: dict[str, str] | None = None,
) -> web.HTTPException:
    return kind(
        text=json.dumps({"error": text}),
        content_type="application/json",
        headers=headers,
    )


def _store_away(error: Exception | None) -> web.HTTPException:
    detail = f": {error}" if error else "; nothing was changed"
    return _error(
        web.HTTPServiceUnavailable,
        f"the store is away{detail}",
        {"Retry-After": str(STORE_RETRY_AFTER_S)},
    )


async def _body(request: web.Request) -> dict[str, object]:
    """Returns a request's JSON object, an empty one if there is no body.

    Raises:
        web.HTTPException: The body is not a JSON object or too large.
    """
    data = await request.content.read(MAX_BODY_BYTES + 1)
    if len(data) > MAX_BODY_BYTES:
        raise _error(web.HTTPBadRequest, f"more than {MAX_BODY_BYTES} bytes")
    try:
        content = json.loads(data or b"{}")
    except ValueError as error:
        raise _error(web.HTTPBadRequest, f"not JSON: {error}") from error
    if not isinstance(content, dict):
        raise _error(web.HTTPBadRequest, "not a JSON object")
    return content


def _for_team(
    edit: repositories.Edit, grant: tokens.Grant, name: str
) -> repositories.Edit:
    """Returns an edit that touches the grant's own services only."""

    def checked(configuration: models.Configuration) -> drafts.Draft:
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

    return checked


def _at_revision(edit: repositories.Edit, expected: str) -> repositories.Edit:
    """Returns an edit that is made at one revision only."""

    def checked(configuration: models.Configuration) -> drafts.Draft:
        if str(configuration.revision) != expected:
            raise _RevisionMismatchError(
                f"revision {configuration.revision} is in force, not {expected}"
            )
        return edit(configuration)

    return checked
