"""Sizes of the two deployments, from section 1.1 of the design page."""

from __future__ import annotations


class Deployment:
    """Sizes and network delay of one deployment.

    :param name: name in the result tables
    :param entries: number of entry VMs
    :param domain_delay: one-way network delay between two failure domains, in seconds
    :param slots: slots per server
    :param connections: connections per server
    :param order_servers: number of servers of the order pool
    :param download_servers: number of servers of the download pool
    """

    __slots__ = (
        "connections",
        "domain_delay",
        "domains",
        "download_servers",
        "entries",
        "name",
        "order_servers",
        "slots",
    )

    def __init__(
        self,
        name: str,
        entries: int,
        domain_delay: float,
        slots: int,
        connections: int,
        order_servers: int,
        download_servers: int,
    ) -> None:
        self.name = name
        self.entries = entries
        self.domains = 3
        self.domain_delay = domain_delay
        self.slots = slots
        self.connections = connections
        self.order_servers = order_servers
        self.download_servers = download_servers


BUNGKUS = Deployment("Bungkus Lilin", 10, 0.0005, 3, 100, 7, 6)
ANIT = Deployment("Anıt Fidan", 10, 0.001, 4, 130, 9, 6)  # noqa: RUF001
DEPLOYMENTS = (BUNGKUS, ANIT)
