"""Table files: YAML with the sections ``routes`` and ``pools``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

import yaml

from medlarpass.tables import Pool
from medlarpass.tables import Route
from medlarpass.tables import RouteMatcher
from medlarpass.tables import TableError
from medlarpass_cli.exceptions import UsageError

if TYPE_CHECKING:
    from pathlib import Path

#: Canonical documents by kind (``route`` or ``pool``) and name.
Tables: TypeAlias = dict[tuple[str, str], dict[str, Any]]

SECTIONS = ("routes", "pools")


class UniqueKeyLoader(yaml.SafeLoader):
    """Rejects repeated keys; PyYAML would silently keep the last value."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Any, Any]:
        """Build a mapping.

        :raises yaml.constructor.ConstructorError: when a key is repeated
        """
        keys = [self.construct_object(key, deep=True) for key, _ in node.value]
        for index, key in enumerate(keys):
            if key in keys[:index]:
                raise yaml.constructor.ConstructorError(
                    None, None, f"repeated key {key!r}", node.start_mark
                )
        return super().construct_mapping(node, deep=deep)


def load_yaml(path: Path) -> Any:
    """Parse a YAML file.

    :raises UsageError: naming the file and what was expected
    """
    try:
        # The loader derives from SafeLoader, so it builds only plain data.
        return yaml.load(path.read_text(encoding="utf-8"), Loader=UniqueKeyLoader)
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{path}: expected a readable file ({error})") from error
    except (yaml.YAMLError, RecursionError, TypeError) as error:
        raise UsageError(f"{path}: expected YAML ({error})") from error


def has_tables(document: Any) -> bool:
    """Return whether a parsed file holds tables rather than settings."""
    return isinstance(document, dict) and any(section in document for section in SECTIONS)


def load_tables(path: Path) -> Tables:
    """Read and validate a table file.

    :raises UsageError: naming the file, the item, the key and what was expected
    """
    document = load_yaml(path)
    if not isinstance(document, dict):
        raise UsageError(f"{path}: expected a mapping with routes and pools")
    unknown_keys = [key for key in document if key not in SECTIONS]
    if unknown_keys:
        raise UsageError(f"{path}: {unknown_keys[0]}: expected only routes and pools")
    tables: Tables = {}
    try:
        pools = [Pool.from_document(*item) for item in _read_section(path, document, "pools")]
        routes = [Route.from_document(*item) for item in _read_section(path, document, "routes")]
        RouteMatcher(routes)
    except TableError as error:
        raise UsageError(f"{path}: {error.message}") from error
    tables.update({("pool", pool.name): pool.to_document() for pool in pools})
    tables.update({("route", route.name): route.to_document() for route in routes})
    return tables


def _read_section(path: Path, document: dict[str, Any], name: str) -> list[tuple[str, Any]]:
    section = document.get(name)
    if section is None:
        return []
    if not isinstance(section, dict):
        raise UsageError(f"{path}: {name}: expected a mapping of names to documents")
    # An item with an empty body takes all defaults.
    return [(item, {} if body is None else body) for item, body in section.items()]
