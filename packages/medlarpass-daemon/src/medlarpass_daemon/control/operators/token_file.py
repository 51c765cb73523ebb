"""Bearer tokens of operators."""

from __future__ import annotations

import hashlib
import hmac
import re

from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

import voluptuous as vol
import yaml

from medlarpass_daemon.control.operators.events import TOKEN_FILE_INVALID
from medlarpass_daemon.control.operators.events import TOKEN_FILE_READ
from medlarpass_daemon.control.operators.exceptions import TokenFileError
from medlarpass_daemon.control.operators.exceptions import UnauthenticatedError
from medlarpass_daemon.control.operators.principal import ANONYMOUS
from medlarpass_daemon.control.operators.principal import Principal
from medlarpass_daemon.control.operators.principal import Role

if TYPE_CHECKING:
    from pathlib import Path

FileSignature: TypeAlias = tuple[int, int, int, int]

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._@-]{0,62}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_FILE_BYTES = 1 << 20


def _name(value: Any) -> str:
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value) or value == ANONYMOUS.name:
        raise vol.Invalid("expected a name of letters, digits, . _ @ -, other than anonymous")
    return value


def _digest(value: Any) -> str:
    if not isinstance(value, str) or not DIGEST_PATTERN.fullmatch(value):
        raise vol.Invalid("expected the SHA-256 of the token as 64 lower-case hex digits")
    return value


TOKEN_FILE_SCHEMA = vol.Schema(
    {
        vol.Required("tokens"): [
            {
                vol.Required("name"): _name,
                vol.Required("role"): vol.In([role.value for role in Role]),
                vol.Required("sha256"): _digest,
            }
        ]
    }
)


class TokenFile:
    """Tokens from a YAML file, which is reloaded after a change.

    :param path: YAML file with a list ``tokens`` of ``name``, ``role`` and ``sha256``
    :raises TokenFileError: when the first read fails
    """

    __slots__ = ("last_signature", "path", "principals")

    def __init__(self, path: Path) -> None:
        self.path = path
        #: Signature of the file at the last read, whether it was valid or not.
        self.last_signature = self._file_signature()
        self.principals = _read_principals(path)

    def authenticate(self, token: str) -> Principal:
        """Return the principal of a token.

        :raises UnauthenticatedError: when the file does not list the token
        """
        self._refresh()
        digest = hashlib.sha256(token.encode()).hexdigest()
        found: Principal | None = None
        # All digests are compared, so that the response time does not reveal a partial match.
        for known_digest, principal in self.principals.items():
            if hmac.compare_digest(known_digest, digest):
                found = principal
        if found is None:
            raise UnauthenticatedError("unknown token")
        return found

    def _refresh(self) -> None:
        signature = self._file_signature()
        if signature == self.last_signature:
            return
        self.last_signature = signature
        try:
            self.principals = _read_principals(self.path)
        except TokenFileError as error:
            TOKEN_FILE_INVALID.log(file=str(self.path), reason=error.expected)
            return
        TOKEN_FILE_READ.log(file=str(self.path), tokens=len(self.principals))

    def _file_signature(self) -> FileSignature | None:
        try:
            status = self.path.stat()
        except OSError:
            return None
        return (status.st_ino, status.st_size, status.st_mtime_ns, status.st_ctime_ns)


def _read_principals(path: Path) -> dict[str, Principal]:
    try:
        with path.open("rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
        if len(content) > MAX_FILE_BYTES:
            raise TokenFileError(str(path), f"expected at most {MAX_FILE_BYTES} bytes")
        document = TOKEN_FILE_SCHEMA(yaml.safe_load(content))
    except OSError as error:
        raise TokenFileError(str(path), f"expected a readable file ({error})") from error
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise TokenFileError(str(path), f"expected YAML ({type(error).__name__})") from error
    except vol.MultipleInvalid as error:
        first = error.errors[0]
        location = ".".join(str(part) for part in first.path)
        raise TokenFileError(str(path), f"{location}: {first.msg}") from error
    return _principals_by_digest(path, document["tokens"])


def _principals_by_digest(path: Path, tokens: list[dict[str, str]]) -> dict[str, Principal]:
    principals: dict[str, Principal] = {}
    names: set[str] = set()
    for token in tokens:
        if token["sha256"] in principals or token["name"] in names:
            raise TokenFileError(str(path), f"tokens: {token['name']}: name or token listed twice")
        names.add(token["name"])
        principals[token["sha256"]] = Principal(token["name"], Role(token["role"]))
    return principals
