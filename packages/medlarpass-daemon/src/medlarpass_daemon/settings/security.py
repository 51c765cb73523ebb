"""Settings of authentication."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from medlarpass import Value


class TlsSettings(Value):
    """Certificate files for mutual TLS.

    :param document: validated section with ``ca``, ``certificate`` and ``key``
    """

    __slots__ = ("ca", "certificate", "key")

    def __init__(self, document: dict[str, Any]) -> None:
        self.ca = Path(document["ca"])
        self.certificate = Path(document["certificate"])
        self.key = Path(document["key"])


class SecuritySettings(Value):
    """How processes and operators authenticate.

    :param document: validated section ``security``
    """

    __slots__ = ("operator_certificate", "operator_key", "operator_tokens", "tls")

    def __init__(self, document: dict[str, Any]) -> None:
        between = document["between_processes"]
        #: None when unauthenticated use between processes was chosen by name.
        self.tls = TlsSettings(between) if between["mode"] == "mutual_tls" else None
        operators = document.get("operators", {})
        #: None when unauthenticated use by operators was chosen by name.
        self.operator_tokens = _path(operators, "file")
        #: Certificate and key of the operators' listener; None for plain HTTP.
        self.operator_certificate = _path(operators, "certificate")
        self.operator_key = _path(operators, "key")


def _path(section: dict[str, Any], key: str) -> Path | None:
    return Path(section[key]) if key in section else None
