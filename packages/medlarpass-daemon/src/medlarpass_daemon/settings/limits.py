"""Settings that bound what callers can use of a process."""

from __future__ import annotations

from typing import Any

from medlarpass import Value

#: Memory of an open connection that holds nothing. 10 KiB were measured for an idle connection that
#: has served a request with 1 KiB of fields; the rest is for the response that it writes.
CONNECTION_BYTES = 32 * 1024
CALLERS = "callers"
CONTROL = "control"
SERVERS = "servers"
OPERATORS = "operators"
PLATFORM = "platform"
#: Part of the descriptors that the connections to a port may use, as a divisor. What is left is for
#: connections to servers and other processes, and for files. Probes and control have their own
#: parts, so that callers can't use them up.
DESCRIPTOR_DIVISORS = {CALLERS: 2, CONTROL: 4, SERVERS: 4, OPERATORS: 16, PLATFORM: 16}
MIN_CONNECTION_COUNT = 4


class LimitSettings(Value):
    """Settings of the HTTP listeners; durations in seconds, sizes in bytes.

    :param document: validated section ``limits``; missing values get defaults
    """

    __slots__ = (
        "connections",
        "connections_per_address",
        "empty_lines",
        "fields",
        "head",
        "head_time",
        "held",
        "idle_time",
        "pipelined",
        "unread_body",
        "unread_time",
    )

    def __init__(self, document: dict[str, Any] | None = None) -> None:
        given = document or {}
        #: Most connections of callers to an entry; None for half of the descriptors.
        self.connections: int | None = given.get("connections")
        #: Most connections of one address to a port; 0 for no limit, as a load balancer may forward
        #: all callers from one address.
        self.connections_per_address: int = given.get("connections_per_address", 0)
        #: Size of a head up to which it is accepted whatever a publication says.
        self.head: int = given.get("head", 16 * 1024)
        #: Most fields of a head.
        self.fields: int = given.get("fields", 128)
        #: Most bytes of empty lines before a request.
        self.empty_lines: int = given.get("empty_lines", 1024)
        #: Time from the first byte of a head to its end, where no publication is in force.
        self.head_time: float = given.get("head_time", 10.0)
        #: Time for which an idle connection is kept, where no publication is in force. The default
        #: is longer than the idle timeout of common load balancers, which would otherwise write to
        #: a connection that is being closed.
        self.idle_time: float = given.get("idle_time", 120.0)
        #: Most complete requests of a connection that wait for earlier ones.
        self.pipelined: int = given.get("pipelined", 4)
        #: Most bytes of a body that are read and dropped after its request was answered.
        self.unread_body: int = given.get("unread_body", 8 << 20)
        #: Time after which a connection that takes no byte of a response is closed.
        self.unread_time: float = given.get("unread_time", 30.0)
        #: Most bytes of incomplete or waiting requests, and of responses that are not read, on all
        #: connections together.
        self.held: int = given.get("held", 32 << 20)

    def max_connections(self, port: str, descriptors: int) -> int:
        """Return how many connections a port accepts.

        :param port: key of ``DESCRIPTOR_DIVISORS``
        :param descriptors: descriptors that the process may open
        """
        if port == CALLERS and self.connections is not None:
            return self.connections
        return max(descriptors // DESCRIPTOR_DIVISORS[port], MIN_CONNECTION_COUNT)
