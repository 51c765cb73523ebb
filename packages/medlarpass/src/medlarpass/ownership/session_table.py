"""Sessions of backend servers, kept by the coordinator of their domain."""

from __future__ import annotations

import secrets

from typing import TYPE_CHECKING

from medlarpass.base import Value
from medlarpass.ownership.drift import granted_term
from medlarpass.ownership.events import INCARNATION_SUPERSEDED
from medlarpass.ownership.events import SESSION_ENDED
from medlarpass.ownership.exceptions import IdentityConflictError
from medlarpass.ownership.exceptions import IncarnationSupersededError
from medlarpass.ownership.exceptions import SessionUnconfirmedError
from medlarpass.ownership.exceptions import SessionUnknownError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from medlarpass.clock import Clock

SESSION_ID_BYTES = 8


def new_session_id() -> str:
    """Return a random session id."""
    return secrets.token_hex(SESSION_ID_BYTES)


class Session(Value):
    """Session of one incarnation of a server.

    :param identity: identity of the server
    :param incarnation: number of its start
    :param session: session id; empty until the server has been heard after an election
    :param address: ``ip:port``; empty until the server has been heard after an election
    :param expiry: end of the session by the coordinator's clock, in seconds
    """

    __slots__ = ("address", "expiry", "identity", "incarnation", "session")

    def __init__(
        self, identity: str, incarnation: int, session: str, address: str, expiry: float
    ) -> None:
        self.identity = identity
        self.incarnation = incarnation
        self.session = session
        self.address = address
        self.expiry = expiry

    @property
    def is_confirmed(self) -> bool:
        """Whether the server has been heard by the present coordinator."""
        return self.session != ""


class SessionTable:
    """Aggregate of the sessions that may still be valid on some server.

    :param clock: the coordinator's clock
    :param term: session term in seconds
    :param new_id: source of session ids
    """

    __slots__ = ("clock", "new_id", "newest", "sessions", "term")

    def __init__(
        self, clock: Clock, term: float, new_id: Callable[[], str] = new_session_id
    ) -> None:
        self.clock = clock
        self.term = term
        self.new_id = new_id
        self.sessions: dict[tuple[str, int], Session] = {}
        self.newest: dict[str, int] = {}

    def adopt(self, holders: Iterable[tuple[str, int]]) -> None:
        """Start the term of office of a new coordinator.

        The previous coordinator may have renewed every session up to this moment.

        :param holders: identity and incarnation of every server with a grant
        """
        self.sessions.clear()
        self.newest.clear()
        expiry = self.clock.now() + granted_term(self.term)
        for identity, incarnation in holders:
            self.sessions[identity, incarnation] = Session(identity, incarnation, "", "", expiry)
            self.newest[identity] = max(self.newest.get(identity, 0), incarnation)

    def announce(self, identity: str, incarnation: int, address: str, term: float) -> Session:
        """Open a session, or return the live one of the same incarnation and address.

        :param identity: identity of the server
        :param incarnation: number of its start
        :param address: ``ip:port`` of the server
        :param term: term that the answer grants, in seconds
        :raises IncarnationSupersededError: a newer incarnation is known
        :raises IdentityConflictError: the incarnation has a live session at another address
        :raises SessionUnconfirmedError: the incarnation holds grants from before the election, so
            only a heartbeat with its session id can show that this is the same process
        """
        self._refuse_superseded(identity, incarnation)
        present = self.live(identity, incarnation)
        if present is not None and not present.is_confirmed:
            raise SessionUnconfirmedError(
                f"{identity} incarnation {incarnation} held grants before the election; "
                "its session must be continued or end first"
            )
        if present is not None:
            self._refuse_conflict(present, address)
            self._extend(present, term)
            return present
        if incarnation > self.newest.get(identity, incarnation):
            INCARNATION_SUPERSEDED.log(server=identity, incarnation=incarnation)
        self.newest[identity] = incarnation
        session = Session(identity, incarnation, self.new_id(), address, 0.0)
        self._extend(session, term)
        self.sessions[identity, incarnation] = session
        return session

    def find(self, identity: str, incarnation: int, session: str, address: str) -> Session:
        """Return the live session of a heartbeat without renewing it.

        :param identity: identity of the server
        :param incarnation: number of its start
        :param session: session id from the answer to the announcement
        :param address: ``ip:port`` of the server
        :raises IncarnationSupersededError: a newer incarnation is known
        :raises IdentityConflictError: the incarnation has a live session at another address
        :raises SessionUnknownError: no such session is live
        """
        self._refuse_superseded(identity, incarnation)
        present = self.live(identity, incarnation)
        if present is None or session == "":
            raise SessionUnknownError(f"{identity} incarnation {incarnation} has no such session")
        if not present.is_confirmed:
            present.session = session
            present.address = address
        self._refuse_conflict(present, address)
        if present.session != session:
            raise SessionUnknownError(f"{identity} incarnation {incarnation} has no such session")
        return present

    def renew(self, session: Session, term: float) -> None:
        """Extend a session at the moment of an answer.

        :param session: live session
        :param term: term that the answer grants, in seconds
        :raises SessionUnknownError: the session has ended
        """
        if self.live(session.identity, session.incarnation) is not session:
            raise SessionUnknownError(f"session of {session.identity} has ended")
        self._extend(session, term)

    def live(self, identity: str, incarnation: int) -> Session | None:
        """Return the session of an incarnation unless it has ended.

        :param identity: identity of the server
        :param incarnation: number of its start
        """
        present = self.sessions.get((identity, incarnation))
        if present is None or self.clock.now() >= present.expiry:
            return None
        return present

    def is_newest(self, identity: str, incarnation: int) -> bool:
        """Tell whether no newer incarnation has announced itself.

        :param identity: identity of the server
        :param incarnation: number of its start
        """
        return self.newest.get(identity) == incarnation

    def remove_ended(self) -> list[Session]:
        """Remove and return the sessions that no server can count on any more."""
        now = self.clock.now()
        ended = [each for each in self.sessions.values() if now >= each.expiry]
        for each in ended:
            del self.sessions[each.identity, each.incarnation]
            SESSION_ENDED.log(server=each.identity, incarnation=each.incarnation)
        return ended

    def _extend(self, session: Session, term: float) -> None:
        # An earlier answer may have granted a longer term, which the server still counts on.
        session.expiry = max(session.expiry, self.clock.now() + granted_term(term))

    def _refuse_superseded(self, identity: str, incarnation: int) -> None:
        newest = self.newest.get(identity, incarnation)
        if incarnation < newest:
            raise IncarnationSupersededError(
                f"{identity} incarnation {incarnation} is superseded by incarnation {newest}"
            )

    def _refuse_conflict(self, present: Session, address: str) -> None:
        if present.address != address:
            raise IdentityConflictError(
                f"{present.identity} incarnation {present.incarnation} is in use at "
                f"{present.address}, refused from {address}"
            )
