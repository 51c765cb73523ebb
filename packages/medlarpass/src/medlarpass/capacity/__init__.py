"""Capacity of servers, and the admission of requests that follows from it."""

from __future__ import annotations

from medlarpass.capacity.server_capacity import ServerCapacity

__all__ = ["ServerCapacity"]
