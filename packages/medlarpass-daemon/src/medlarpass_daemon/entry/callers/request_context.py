"""Objects that all requests of an entry share."""

from __future__ import annotations

import random

from typing import TYPE_CHECKING

from medlarpass_daemon.entry.callers.admission import Admission
from medlarpass_daemon.entry.callers.body_budget import BodyBudget
from medlarpass_daemon.entry.callers.claim_recorder import ClaimRecorder
from medlarpass_daemon.entry.callers.load_recorder import LoadRecorder
from medlarpass_daemon.entry.callers.owner_watch import OwnerWatch
from medlarpass_daemon.entry.callers.server_client import ServerClient
from medlarpass_daemon.entry.callers.server_notices import ServerNotices
from medlarpass_daemon.entry.callers.server_selector import ServerSelector
from medlarpass_daemon.entry.callers.server_thinning import ServerThinning

if TYPE_CHECKING:
    import asyncio

    from collections.abc import Callable
    from collections.abc import Set

    from medlarpass import Clock
    from medlarpass.dispatch import DemandCounter
    from medlarpass.dispatch import RetryBudgetSettings
    from medlarpass_daemon.entry.callers.caller_request import CallerRequest
    from medlarpass_daemon.entry.callers.dialect import Dialect
    from medlarpass_daemon.entry.callers.domain_router import DomainRouter
    from medlarpass_daemon.entry.callers.interfaces import OrderClaims
    from medlarpass_daemon.entry.callers.interfaces import OwnerDirectory
    from medlarpass_daemon.entry.callers.interfaces import PeerLoads
    from medlarpass_daemon.entry.callers.interfaces import RoutingTable
    from medlarpass_daemon.entry.callers.interfaces import ServerDirectory
    from medlarpass_daemon.entry.callers.metrics import CallersMetrics
    from medlarpass_daemon.entry.callers.owner_queue import OwnerQueue
    from medlarpass_daemon.entry.callers.pool_gate import PoolGate
    from medlarpass_daemon.settings import EntrySettings


class RequestContext:
    """The objects of the request path.

    :param settings: settings of the entry
    :param routing: configuration in force
    :param owners: owners of keys
    :param servers: servers of the pools
    :param claims: claims of orders
    :param peer_loads: in-flight requests reported by peers
    :param clock: source of time
    :param metrics: metrics of the request path
    :param dialect: headers and error responses of the deployment
    :param domain: failure domain of this entry
    :param retry_budget_settings: settings of the retry budgets of the routes
    """

    __slots__ = (
        "admission",
        "body_budget",
        "claim_recorder",
        "claims",
        "client",
        "clock",
        "demands",
        "dialect",
        "domain",
        "domain_router",
        "is_draining",
        "metrics",
        "notices",
        "order_tasks",
        "owner_queue",
        "owner_watch",
        "owners",
        "pool_gate",
        "routing",
        "server_selector",
        "servers",
        "settings",
        "thinning",
        "view_age",
    )

    def __init__(
        self,
        settings: EntrySettings,
        routing: RoutingTable,
        owners: OwnerDirectory,
        servers: ServerDirectory,
        claims: OrderClaims,
        peer_loads: PeerLoads,
        clock: Clock,
        metrics: CallersMetrics,
        dialect: Dialect,
        domain: str,
        retry_budget_settings: RetryBudgetSettings,
    ) -> None:
        self.settings = settings
        self.routing = routing
        self.owners = owners
        self.servers = servers
        self.claims = claims
        self.clock = clock
        self.metrics = metrics
        self.dialect = dialect
        self.domain = domain
        self.admission = Admission(settings.concurrency, clock, retry_budget_settings)
        self.body_budget = BodyBudget(settings.held_bodies)
        metrics.held_body_bytes.set_function(lambda: self.body_budget.held_bytes)
        self.notices = ServerNotices(clock, settings.longest_pause)
        self.server_selector = ServerSelector(
            peer_loads, clock, settings.place_wait, self.notices, settings.owner_wait
        )
        load_recorder = LoadRecorder(self.server_selector.reported_loads, metrics.invalid_loads.inc)
        self.client = ServerClient(settings, self.notices, load_recorder)
        self.claim_recorder = ClaimRecorder(claims)
        self.owner_watch = OwnerWatch()
        #: Counts requests until the next report to control; None if nothing is reported.
        self.demands: DemandCounter | None = None
        #: Chooses the domain of requests to pools without owners; None if only downloads have a
        #: preference.
        self.domain_router: DomainRouter | None = None
        #: Limits the requests for overloaded pools; None if control does not limit any.
        self.pool_gate: PoolGate | None = None
        #: Turns at owners that refuse requests; None if refusals are only retried.
        self.owner_queue: OwnerQueue | None = None
        #: Tasks of the orders in flight, which may outlive the connections of their callers.
        self.order_tasks: set[asyncio.Task[object]] = set()
        self.is_draining = False
        self.thinning = ServerThinning(clock, random.Random())
        #: Returns the seconds since the last update from control, if the entry follows control.
        self.view_age: Callable[[], float | None] = lambda: None

    def count_demand(self, request: CallerRequest) -> None:
        """Count a request of a caller for the next report to control."""
        if self.demands is not None and not (self.pool_gate and self.pool_gate.is_early(request)):
            self.demands.count(request.pool.name, self.domain, request.route.priority)

    def check_admitted(self, request: CallerRequest) -> None:
        """Check that the pool of a request admits it.

        :raises PoolOverloadedError: the request is beyond what the pool can serve
        """
        if self.pool_gate is not None:
            self.pool_gate.check(request)

    def retain(self, servers: Set[str], routes: Set[str]) -> None:
        """Drop the state of servers that left and of routes that were deleted.

        State with requests in flight is kept until a later call.

        :param servers: identities of the servers that have not left
        :param routes: names of the routes in force
        """
        self.admission.retain(routes)
        if self.domain_router is not None:
            self.domain_router.retain(set(self.routing.pools))
        for identity in self.client.connectors.keys() - servers:
            self.client.forget(identity)
        for identity in self.server_selector.known_identities() - servers:
            self.server_selector.forget(identity)
            if self.owner_queue is not None:
                self.owner_queue.turns.forget(identity)
        for identity in self.notices.by_identity.keys() - servers:
            self.notices.forget(identity)
