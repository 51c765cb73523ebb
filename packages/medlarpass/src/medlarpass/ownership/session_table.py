"""Sessions of backend servers, kept by the coordinator of their domain."""

from __future__ import annotations

import secrets

from typing import TYPE_CHECKING

from medlarpass.base import Value
from medlarpass.ownership.drift import grantor_term
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
    :param incarnation: incarnation of the server
    :param session_id: session id; empty after an election until the server sends a heartbeat
    :param address: ``ip:port``; empty after an election until the server sends a heartbeat
    :param expiry: end of the session by the coordinator's clock, in seconds
    """

    __slots__ = ("address", "expiry", "identity", "incarnation", "session_id")

    def __init__(
        self, identity: str, incarnation: int, session_id: str, address: str, expiry: float
    ) -> None:
        self.identity = identity
        self.incarnation = incarnation
        self.session_id = session_id
        self.address = address
        self.expiry = expiry

    @property
    def is_confirmed(self) -> bool:
        """Whether the current coordinator has received a message of the server."""
        return self.session_id != ""


class SessionTable:
    """Keeps the sessions that a server may still consider valid.

    :param clock: the coordinator's clock
    :param term: session term in seconds
    :param new_id: generates session ids
    """

    __slots__ = ("clock", "new_id", "newest_incarnations", "sessions", "term")

    def __init__(
        self, clock: Clock, term: float, new_id: Callable[[], str] = new_session_id
    ) -> None:
        self.clock = clock
        self.term = term
        self.new_id = new_id
        self.sessions: dict[tuple[str, int], Session] = {}
        self.newest_incarnations: dict[str, int] = {}

    def adopt(self, holders: Iterable[tuple[str, int]]) -> None:
        """Reset the sessions at the election of a coordinator.

        The previous coordinator may have renewed every session until now.

        :param holders: identity and incarnation of every server with a grant
        """
        self.sessions.clear()
        self.newest_incarnations.clear()
        expiry = self.clock.now() + grantor_term(self.term)
        for identity, incarnation in holders:
            self.sessions[identity, incarnation] = Session(identity, incarnation, "", "", expiry)
            self.newest_incarnations[identity] = max(
                self.newest_incarnations.get(identity, 0), incarnation
            )

    def announce(self, identity: str, incarnation: int, address: str, term: float) -> Session:
        """Open a session, or return the live one of the same incarnation and address.

        :param identity: identity of the server
        :param incarnation: incarnation of the server
        :param address: ``ip:port`` of the server
        :param term: term that the response grants, in seconds
        :raises IncarnationSupersededError: a newer incarnation is known
        :raises IdentityConflictError: the incarnation has a live session at another address
        :raises SessionUnconfirmedError: the incarnation holds grants from before the election, so
            only a heartbeat with its session id can prove that this is the same process
        """
        self._check_not_superseded(identity, incarnation)
        current = self.live_session(identity, incarnation)
        if current is not None and not current.is_confirmed:
            raise SessionUnconfirmedError(
                f"{identity} incarnation {incarnation} held grants before the election; "
                "its session must be continued or end first"
            )
        if current is not None:
            self._check_address(current, address)
            self._extend_session(current, term)
            return current
        if incarnation > self.newest_incarnations.get(identity, incarnation):
            INCARNATION_SUPERSEDED.log(server=identity, incarnation=incarnation)
        self.newest_incarnations[identity] = incarnation
        session = Session(identity, incarnation, self.new_id(), address, 0.0)
        self._extend_session(session, term)
        self.sessions[identity, incarnation] = session
        return session

    def find(self, identity: str, incarnation: int, session_id: str, address: str) -> Session:
        """Return the live session of a heartbeat without renewing it.

        :param identity: identity of the server
        :param incarnation: incarnation of the server
        :param session_id: session id from the response to the announcement
        :param address: ``ip:port`` of the server
        :raises IncarnationSupersededError: a newer incarnation is known
        :raises IdentityConflictError: the incarnation has a live session at another address
        :raises SessionUnknownError: no such session is live
        """
        self._check_not_superseded(identity, incarnation)
        current = self.live_session(identity, incarnation)
        if current is None or session_id == "":
            raise SessionUnknownError(f"{identity} incarnation {incarnation} has no such session")
        if not current.is_confirmed:
            current.session_id = session_id
            current.address = address
        self._check_address(current, address)
        if current.session_id != session_id:
            raise SessionUnknownError(f"{identity} incarnation {incarnation} has no such session")
        return current

    def renew(self, session: Session, term: float) -> None:
        """Extend a session when a response is sent.

        :param session: live session
        :param term: term that the response grants, in seconds
        :raises SessionUnknownError: the session has ended
        """
        if self.live_session(session.identity, session.incarnation) is not session:
            raise SessionUnknownError(f"session of {session.identity} has ended")
        self._extend_session(session, term)

    def live_session(self, identity: str, incarnation: int) -> Session | None:
        """Return the session of an incarnation unless it has ended.

        :param identity: identity of the server
        :param incarnation: incarnation of the server
        """
        session = self.sessions.get((identity, incarnation))
        if session is None or self.clock.now() >= session.expiry:
            return None
        return session

    def is_newest(self, identity: str, incarnation: int) -> bool:
        """Return whether no newer incarnation has announced itself.

        :param identity: identity of the server
        :param incarnation: incarnation of the server
        """
        return self.newest_incarnations.get(identity) == incarnation

    def remove_ended(self) -> list[Session]:
        """Remove and return the sessions that no server can still consider valid."""
        now = self.clock.now()
        ended = [session for session in self.sessions.values() if now >= session.expiry]
        for session in ended:
            del self.sessions[session.identity, session.incarnation]
            SESSION_ENDED.log(server=session.identity, incarnation=session.incarnation)
        return ended

    def _extend_session(self, session: Session, term: float) -> None:
        # An earlier response may have granted a longer term, which the server still relies on.
        session.expiry = max(session.expiry, self.clock.now() + grantor_term(term))

    def _check_not_superseded(self, identity: str, incarnation: int) -> None:
        newest = self.newest_incarnations.get(identity, incarnation)
        if incarnation < newest:
            raise IncarnationSupersededError(
                f"{identity} incarnation {incarnation} is superseded by incarnation {newest}"
            )

    def _check_address(self, session: Session, address: str) -> None:
        if session.address != address:
            raise IdentityConflictError(
                f"{session.identity} incarnation {session.incarnation} is in use at "
                f"{session.address}, refused from {address}"
            )
