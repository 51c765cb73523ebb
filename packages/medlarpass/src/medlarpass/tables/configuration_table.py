"""Replicated tables of routes and pools."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

from medlarpass.rpc import control_pb2
from medlarpass.rpc import state_pb2
from medlarpass.tables.audit_trail import AuditTrail
from medlarpass.tables.change_history import ChangeHistory
from medlarpass.tables.change_history import change_digest
from medlarpass.tables.exceptions import ChangeIdReusedError
from medlarpass.tables.exceptions import InvalidDocumentError
from medlarpass.tables.exceptions import MissingPoolError
from medlarpass.tables.exceptions import PoolInUseError
from medlarpass.tables.exceptions import PoolNotOwnedError
from medlarpass.tables.exceptions import PoolShapeFixedError
from medlarpass.tables.exceptions import TableError
from medlarpass.tables.exceptions import VersionConflictError
from medlarpass.tables.pool import Pool
from medlarpass.tables.request_class import RequestClass
from medlarpass.tables.route import Route
from medlarpass.tables.route_matcher import RouteMatcher

if TYPE_CHECKING:
    from collections.abc import Mapping

ROUTE = control_pb2.ITEM_KIND_ROUTE
POOL = control_pb2.ITEM_KIND_POOL

ItemKey: TypeAlias = "tuple[control_pb2.ItemKind, str]"


class ConfigurationTable:
    """State machine of routes, pools, drains and evacuations, with history and audit trail.

    Every replica applies the same messages in the same order and must reach the same state, so
    nothing here may depend on the local clock or on random numbers.
    """

    __slots__ = (
        "audit",
        "deleted",
        "drained",
        "evacuated_domains",
        "history",
        "items",
        "revision",
    )

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[ItemKey, control_pb2.ConfigurationItem] = {}
        #: Last states of deleted items. An item created again under the same name continues the
        #: version numbers, so that a stale expected version can't match the new item.
        self.deleted: dict[ItemKey, control_pb2.ConfigurationItem] = {}
        self.drained: set[str] = set()
        #: Failure domains whose servers get no requests and own no keys.
        self.evacuated_domains: set[str] = set()
        self.history = ChangeHistory()
        self.audit = AuditTrail()

    def apply(self, change: control_pb2.ApplyChange, time_ms: int) -> control_pb2.ChangeResult:
        """Apply a change atomically.

        :param change: items with the versions that the author expects
        :param time_ms: time stamped by the leader
        :returns: the result; a repeated change id gets its original result
        """
        digest = change_digest(change)
        try:
            previous_result = self.history.find(change.change_id, digest)
        except ChangeIdReusedError as error:
            result = self._refusal_result(error)
            self._audit_change(change, time_ms, {}, result)
            return result
        if previous_result is not None:
            return previous_result
        before = {_item_key(item): self._current_document(_item_key(item)) for item in change.items}
        try:
            documents = self._updated_documents(change)
            _check_documents(documents)
        except TableError as error:
            result = self._refusal_result(error)
        else:
            self._commit(documents)
            result = control_pb2.ChangeResult(
                status=control_pb2.CHANGE_STATUS_ACCEPTED, revision=self.revision
            )
        result.current.extend(self._current_items(change))
        self.history.add(change.change_id, digest, time_ms, result)
        self._audit_change(change, time_ms, before, result)
        return result

    def set_drain(self, change: control_pb2.SetDrain, time_ms: int) -> control_pb2.ChangeResult:
        """Drain a server or end its drain.

        :param change: identity of the server and its desired state
        :param time_ms: time stamped by the leader
        """
        return self._set_flag(
            change, self.drained, change.server, change.drained, time_ms, "drain", "drained"
        )

    def set_evacuation(
        self, change: control_pb2.SetEvacuation, time_ms: int
    ) -> control_pb2.ChangeResult:
        """Start or end the evacuation of a failure domain.

        :param change: name of the domain and its desired state
        :param time_ms: time stamped by the leader
        """
        return self._set_flag(
            change,
            self.evacuated_domains,
            change.domain,
            change.evacuated,
            time_ms,
            "evacuate",
            "evacuated",
        )

    def record_refusal(self, refusal: control_pb2.RecordRefusal, time_ms: int) -> None:
        """Add an audit record for a request that was refused before it reached the tables."""
        self.audit.add(
            state_pb2.AuditEntry(
                time_ms=time_ms,
                change_id=refusal.change_id,
                author=refusal.author,
                source=refusal.source,
                action=refusal.summary,
                outcome=refusal.code,
                revision=self.revision,
            )
        )

    def configuration(self) -> control_pb2.Configuration:
        """Return the configuration that entries apply."""
        return control_pb2.Configuration(
            revision=self.revision,
            items=[self.items[key] for key in sorted(self.items)],
            drained_servers=sorted(self.drained),
        )

    def pools(self) -> dict[str, Pool]:
        """Return the pools by name."""
        return {
            name: Pool.from_json(name, item.document)
            for (kind, name), item in self.items.items()
            if kind == POOL
        }

    def snapshot(self) -> state_pb2.TableSnapshot:
        """Return a snapshot of the whole state."""
        return state_pb2.TableSnapshot(
            revision=self.revision,
            items=[self.items[key] for key in sorted(self.items)],
            deleted=[
                state_pb2.DeletedItem(
                    kind=kind, name=name, version=item.version, document=item.document
                )
                for (kind, name), item in sorted(self.deleted.items(), key=lambda pair: pair[0])
            ],
            drained_servers=sorted(self.drained),
            outcomes=self.history.outcomes.values(),
            audit=self.audit.records,
            audit_count=self.audit.count,
            evacuated_domains=sorted(self.evacuated_domains),
        )

    @classmethod
    def from_snapshot(cls, snapshot: state_pb2.TableSnapshot) -> ConfigurationTable:
        """Build the table from a snapshot."""
        table = cls()
        table.revision = snapshot.revision
        table.items = {(item.kind, item.name): item for item in snapshot.items}
        table.deleted = {
            (item.kind, item.name): control_pb2.ConfigurationItem(
                kind=item.kind, name=item.name, version=item.version, document=item.document
            )
            for item in snapshot.deleted
        }
        table.drained = set(snapshot.drained_servers)
        table.evacuated_domains = set(snapshot.evacuated_domains)
        table.history.outcomes = {outcome.change_id: outcome for outcome in snapshot.outcomes}
        table.audit.records.extend(snapshot.audit)
        table.audit.count = snapshot.audit_count
        return table

    def _updated_documents(self, change: control_pb2.ApplyChange) -> dict[ItemKey, str | None]:
        if not change.items:
            raise InvalidDocumentError("a change needs at least one item")
        documents: dict[ItemKey, str | None] = {
            key: item.document for key, item in self.items.items()
        }
        seen_keys: set[ItemKey] = set()
        for item in change.items:
            key = _item_key(item)
            if key in seen_keys:
                raise InvalidDocumentError(f"{item.name}: named twice in one change")
            seen_keys.add(key)
            self._check_version(item)
            documents[key] = _canonical_json(item) if item.HasField("document") else None
            self._check_pool_shape(key, documents[key])
        return documents

    def _check_version(self, item: control_pb2.ItemChange) -> None:
        current = self.items.get(_item_key(item))
        version = current.version if current else 0
        if item.expected_version != version:
            raise VersionConflictError(
                f"{item.name}: expected version {item.expected_version}, present is {version}"
            )
        if current is None and not item.HasField("document"):
            raise VersionConflictError(f"{item.name}: there is no such item to delete")

    def _check_pool_shape(self, key: ItemKey, document: str | None) -> None:
        previous = self.items.get(key) or self.deleted.get(key)
        kind, name = key
        if kind != POOL or previous is None or document is None:
            return
        old, new = Pool.from_json(name, previous.document), Pool.from_json(name, document)
        if old.owned != new.owned or (old.owned and old.shards != new.shards):
            raise PoolShapeFixedError(
                f"{name}: owned and shards stay {old.owned} and {old.shards}; use another name"
            )

    def _commit(self, documents: Mapping[ItemKey, str | None]) -> None:
        self.revision += 1
        for key, document in documents.items():
            current = self.items.get(key)
            if document is None:
                self.deleted[key] = self.items.pop(key)
                continue
            if current is not None and current.document == document:
                continue
            previous = current or self.deleted.pop(key, None)
            version = previous.version + 1 if previous else 1
            kind, name = key
            self.items[key] = control_pb2.ConfigurationItem(
                kind=kind, name=name, version=version, document=document
            )

    def _current_document(self, key: ItemKey) -> str:
        current = self.items.get(key)
        return current.document if current else ""

    def _current_items(
        self, change: control_pb2.ApplyChange
    ) -> list[control_pb2.ConfigurationItem]:
        current = (self.items.get(_item_key(item)) for item in change.items)
        return [item for item in current if item is not None]

    def _refusal_result(self, error: TableError) -> control_pb2.ChangeResult:
        is_conflict = isinstance(error, VersionConflictError)
        return control_pb2.ChangeResult(
            status=(
                control_pb2.CHANGE_STATUS_CONFLICT
                if is_conflict
                else control_pb2.CHANGE_STATUS_REFUSED
            ),
            revision=self.revision,
            code=error.code,
            message=error.message,
        )

    def _audit_change(
        self,
        change: control_pb2.ApplyChange,
        time_ms: int,
        before: Mapping[ItemKey, str],
        result: control_pb2.ChangeResult,
    ) -> None:
        for item in change.items:
            key = _item_key(item)
            self.audit.add(
                state_pb2.AuditEntry(
                    time_ms=time_ms,
                    change_id=change.change_id,
                    author=change.author,
                    source=change.source,
                    action=_audit_action(item),
                    before=before.get(key, ""),
                    after=item.document,
                    outcome=result.code or "accepted",
                    revision=result.revision,
                )
            )

    def _set_flag(
        self,
        change: control_pb2.SetDrain | control_pb2.SetEvacuation,
        flagged: set[str],
        name: str,
        desired: bool,
        time_ms: int,
        verb: str,
        flagged_state: str,
    ) -> control_pb2.ChangeResult:
        """Add a name to a set or remove it, with history and audit record.

        :param change: the change, for its id, author and source
        :param flagged: names for which the state is set
        :param name: name of the server or domain
        :param desired: whether the name is to be in the set
        :param time_ms: time stamped by the leader
        :param verb: action in the audit record
        :param flagged_state: state of a name in the set, for the audit record
        """
        digest = change_digest(change)
        before = name in flagged
        try:
            previous_result = self.history.find(change.change_id, digest)
        except ChangeIdReusedError as error:
            result = self._refusal_result(error)
        else:
            if previous_result is not None:
                return previous_result
            if desired:
                flagged.add(name)
            else:
                flagged.discard(name)
            self.revision += 1
            result = control_pb2.ChangeResult(
                status=control_pb2.CHANGE_STATUS_ACCEPTED, revision=self.revision
            )
            self.history.add(change.change_id, digest, time_ms, result)
        states = {True: flagged_state, False: "in use"}
        self._audit_flag(change, time_ms, f"{verb} {name}", states[before], states[desired], result)
        return result

    def _audit_flag(
        self,
        change: control_pb2.SetDrain | control_pb2.SetEvacuation,
        time_ms: int,
        action: str,
        before: str,
        after: str,
        result: control_pb2.ChangeResult,
    ) -> None:
        self.audit.add(
            state_pb2.AuditEntry(
                time_ms=time_ms,
                change_id=change.change_id,
                author=change.author,
                source=change.source,
                action=action,
                before=before,
                after=after,
                outcome=result.code or "accepted",
                revision=result.revision,
            )
        )


def _item_key(item: control_pb2.ItemChange) -> ItemKey:
    return (item.kind, item.name)


def _canonical_json(item: control_pb2.ItemChange) -> str:
    if item.kind == ROUTE:
        return Route.from_json(item.name, item.document).to_json()
    if item.kind == POOL:
        return Pool.from_json(item.name, item.document).to_json()
    raise InvalidDocumentError(f"{item.name}: neither a route nor a pool")


def _check_documents(documents: Mapping[ItemKey, str | None]) -> None:
    pools = {
        name: Pool.from_json(name, text)
        for (kind, name), text in documents.items()
        if kind == POOL and text is not None
    }
    routes = [
        Route.from_json(name, text)
        for (kind, name), text in documents.items()
        if kind == ROUTE and text is not None
    ]
    deleted_pools = {
        name for (kind, name), text in documents.items() if kind == POOL and text is None
    }
    for route in routes:
        if route.pool in deleted_pools:
            raise PoolInUseError(f"{route.pool}: still named by route {route.name}")
        if route.pool not in pools:
            raise MissingPoolError(f"{route.name}: pool {route.pool} does not exist")
        if route.request_class is RequestClass.ENQUIRY and not pools[route.pool].owned:
            raise PoolNotOwnedError(f"{route.name}: pool {route.pool} has no owners of keys")
    RouteMatcher(routes)


def _audit_action(item: control_pb2.ItemChange) -> str:
    kind = "route" if item.kind == ROUTE else "pool"
    verb = "put" if item.HasField("document") else "delete"
    return f"{verb} {kind} {item.name}"
