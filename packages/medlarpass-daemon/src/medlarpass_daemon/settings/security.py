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
    """Authentication of processes and operators.

    :param document: validated section ``security``
    """

    __slots__ = ("operator_certificate", "operator_key", "operator_tokens", "tls")

    def __init__(self, document: dict[str, Any]) -> None:
        between_processes = document["between_processes"]
        #: None when the settings explicitly select unauthenticated connections between processes.
        self.tls = (
            TlsSettings(between_processes) if between_processes["mode"] == "mutual_tls" else None
        )
        operators = document.get("operators", {})
        #: Token file; None when the settings explicitly select unauthenticated operators.
        self.operator_tokens = _optional_path(operators, "file")
        #: Certificate and key of the operators' listener; None for plain HTTP.
        self.operator_certificate = _optional_path(operators, "certificate")
        self.operator_key = _optional_path(operators, "key")


def _optional_path(section: dict[str, Any], key: str) -> Path | None:
    return Path(section[key]) if key in section else None
