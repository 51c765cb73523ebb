"""Rows of the reference documents, read from the code and from the documents.

Run ``python tools/documents/rows.py`` to print the rows that a document lacks, as templates, and
the rows that no longer match the code.
"""

from __future__ import annotations

import importlib
import inspect
import re
import sys

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

import voluptuous as vol

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

ROOT = Path(__file__).parents[2]
SOURCES = sorted((ROOT / "packages").glob("*/src"))

#: Cells of each row that are derived from the code, by the first cell.
Rows: TypeAlias = dict[str, tuple[str, ...]]

REQUIRED = "required"
ABSENT = "none"
NO_BOUNDS = "-"


def import_all() -> list[Any]:
    """Import every module of the packages; files are listed so that none is missed."""
    modules = []
    for source in SOURCES:
        for path in sorted(source.rglob("*.py")):
            parts = list(path.relative_to(source).with_suffix("").parts)
            if parts[-1].endswith(("_pb2", "_pb2_grpc")):
                continue
            if parts[-1] == "__init__":
                parts.pop()
            modules.append(importlib.import_module(".".join(parts)))
    return modules


def error_classes() -> list[type[Any]]:
    """Return every error class of the packages."""
    from medlarpass import MedlarpassError

    names = {module.__name__ for module in import_all()}
    classes: list[type[Any]] = []
    pending: list[type[Any]] = [MedlarpassError]
    while pending:
        error = pending.pop()
        pending.extend(error.__subclasses__())
        if error.__module__ in names and error not in classes:
            classes.append(error)
    return sorted(classes, key=lambda error: str(error.code))


def error_rows() -> Rows:
    """Return code, class, HTTP status and outcome of every error."""
    return {
        error.code: (error.code, error.__name__, str(error.http_status), error.outcome.value)
        for error in error_classes()
    }


def events() -> list[Any]:
    """Return every log event of the packages, by number."""
    from medlarpass import Event

    by_identity = {
        id(value): value
        for module in import_all()
        for value in vars(module).values()
        if isinstance(value, Event)
    }
    return sorted(by_identity.values(), key=lambda event: int(event.number))


def event_constants() -> list[tuple[str, str]]:
    """Return module and name of every constant that holds a log event where it is defined."""
    return [
        (module.__name__, name)
        for module in import_all()
        if module.__name__.endswith(".events")
        for name, value in vars(module).items()
        if isinstance(value, _event_class())
    ]


def is_used(module: str, name: str) -> bool:
    """Return whether another module imports an event constant and logs it.

    The log writer can't report dropped lines with ``log``; it writes the event number itself.
    """
    package = module.rpartition(".")[0]
    direct = re.compile(rf"^from {re.escape(module)} import {name}$", re.M)
    indirect = re.compile(rf"^from {re.escape(package)} import events$", re.M)
    for source in SOURCES:
        for path in source.rglob("*.py"):
            text = path.read_text()
            if direct.search(text) and re.search(rf"\b{name}\.(log\(|number\b)", text):
                return True
            if indirect.search(text) and re.search(rf"\bevents\.{name}\.log\(", text):
                return True
    return False


def _event_class() -> type[Any]:
    from medlarpass import Event

    return Event


def event_rows() -> Rows:
    """Return number and name of every log event."""
    return {str(event.number): (str(event.number), event.name) for event in events()}


def metric_rows() -> Rows:
    """Return name and type of every metric of a process with both roles."""
    from medlarpass_daemon.entry.callers.metrics import CallersMetrics
    from medlarpass_daemon.observability import Metrics
    from medlarpass_daemon.request_bounds import RequestBoundsMetrics

    registry = Metrics().registry
    CallersMetrics(registry)
    RequestBoundsMetrics(registry)
    rows: Rows = {}
    for family in registry.collect():
        if family.name.startswith("medlarpass_"):
            name = f"{family.name}_total" if family.type == "counter" else family.name
            rows[name] = (name, family.type)
    return rows


def settings_rows() -> Rows:
    """Return key, type, default and bounds of every setting."""
    from medlarpass_daemon.settings.schema import SETTINGS_SCHEMA

    return _schema_rows(SETTINGS_SCHEMA)


def route_rows() -> Rows:
    """Return key, type, default and bounds of a route."""
    from medlarpass.tables.schema import ROUTE_SCHEMA

    return _schema_rows(ROUTE_SCHEMA)


def pool_rows() -> Rows:
    """Return key, type, default and bounds of a pool."""
    from medlarpass.tables.schema import POOL_SCHEMA

    return _schema_rows(POOL_SCHEMA)


def token_rows() -> Rows:
    """Return key, type, default and bounds of the token file."""
    from medlarpass_daemon.control.operators.token_file import TOKEN_FILE_SCHEMA

    return _schema_rows(TOKEN_FILE_SCHEMA)


def exit_status_rows() -> Rows:
    """Return number and name of every exit status."""
    from medlarpass_cli.exit_status import ExitStatus

    return {
        str(status.value): (str(status.value), status.name.lower().replace("_", " "))
        for status in ExitStatus
    }


#: Function that returns the expected rows of each table, by document and heading.
TABLES: dict[tuple[str, str], Callable[[], Rows]] = {
    ("docs/configuration.md", "Settings file"): settings_rows,
    ("docs/configuration.md", "Route documents"): route_rows,
    ("docs/configuration.md", "Pool documents"): pool_rows,
    ("docs/configuration.md", "Token file"): token_rows,
    ("docs/errors.md", "Errors"): error_rows,
    ("docs/errors.md", "Exit statuses"): exit_status_rows,
    ("docs/events.md", "Events"): event_rows,
    ("docs/OPERATIONS.md", "Metrics"): metric_rows,
}


def document_table(document: str, heading: str) -> list[list[str]]:
    """Return the cells of the first table below a heading, without the header row."""
    text = (ROOT / document).read_text(encoding="utf-8")
    sections = re.split(r"^## ", text, flags=re.MULTILINE)
    matching_sections = [part for part in sections if part.partition("\n")[0].strip() == heading]
    if len(matching_sections) != 1:
        raise LookupError(f"{document}: expected one heading ## {heading}")
    lines = [line for line in matching_sections[0].splitlines() if line.startswith("|")]
    return [
        [cell.strip().strip("`") for cell in re.split(r"(?<!\\)\|", line)[1:-1]]
        for line in lines[2:]
    ]


def differences(document: str, heading: str) -> list[str]:
    """Return a line for each row that is missing, extra, duplicate, different or not explained."""
    expected = TABLES[(document, heading)]()
    documented: Rows = {}
    lines = []
    for cells in document_table(document, heading):
        key = cells[0]
        if key in documented:
            lines.append(f"twice: {key}")
        documented[key] = tuple(cells)
    for key, row in expected.items():
        cell_count = len(row)
        if key not in documented:
            lines.append(f"missing: {_markdown(row)}")
        elif documented[key][:cell_count] != row:
            lines.append(
                f"different: {_markdown(documented[key][:cell_count])} should be {_markdown(row)}"
            )
        elif len(documented[key]) <= cell_count or not all(documented[key][cell_count:]):
            lines.append(f"not explained: {_markdown(row)}")
    lines += [f"extra: {key}" for key in documented if key not in expected]
    return lines


def _markdown(row: tuple[str, ...]) -> str:
    return f"| `{row[0]}` | " + " | ".join(row[1:]) + " |"


def _schema_rows(schema: vol.Schema) -> Rows:
    return {row[0]: row for row in _iter_rows("", schema.schema)}


def _iter_rows(prefix: str, mapping: dict[Any, Any]) -> Iterator[tuple[str, ...]]:
    for marker, validator in mapping.items():
        key = f"{prefix}{marker.schema}"
        kind, bounds = _describe(validator)
        yield (key, kind, _default(marker), bounds)
        for nested_prefix, nested in _iter_nested(key, validator):
            yield from _iter_rows(nested_prefix, nested)


def _iter_nested(key: str, validator: Any) -> Iterator[tuple[str, dict[Any, Any]]]:
    if isinstance(validator, dict):
        yield f"{key}.", validator
    elif isinstance(validator, vol.Any) and isinstance(validator.validators[0], dict):
        for alternative in validator.validators:
            mode = next(value for name, value in alternative.items() if name.schema == "mode")
            rest = {name: value for name, value in alternative.items() if name.schema != "mode"}
            yield f"{key}({mode}).", rest
    else:
        item = _list_item(validator)
        if isinstance(item, dict):
            yield f"{key}[].", item


def _describe(validator: Any) -> tuple[str, str]:
    """Return the type and bounds of a validator."""
    if isinstance(validator, dict):
        return "section", NO_BOUNDS
    if validator is bool:
        return "true or false", NO_BOUNDS
    if isinstance(validator, vol.In):
        container: Any = validator.container
        return "one of " + ", ".join(map(str, container)), NO_BOUNDS
    if isinstance(validator, vol.Any) and isinstance(validator.validators[0], dict):
        modes = [
            value
            for alternative in validator.validators
            for name, value in alternative.items()
            if name.schema == "mode"
        ]
        return "section with mode " + " or ".join(modes), NO_BOUNDS
    item = _list_item(validator)
    if item is not None:
        kind = "sections" if isinstance(item, dict) else _describe(item)[0]
        min_lengths = [part.min for part in _flatten(validator) if isinstance(part, vol.Length)]
        return f"list of {kind}", f"at least {min_lengths[0]} item" if min_lengths else NO_BOUNDS
    if isinstance(validator, vol.All):
        return _describe_all(validator)
    return _describe_function(validator)


def _describe_all(validator: vol.All) -> tuple[str, str]:
    kind = "text" if str in validator.validators else "integer"
    for part in _flatten(validator):
        if isinstance(part, vol.Range | vol.Length):
            unit = " characters" if isinstance(part, vol.Length) else ""
            if part.max is None:
                return kind, f"at least {part.min}{unit}"
            return kind, f"{part.min} to {part.max}{unit}"
    return kind, NO_BOUNDS


def _describe_function(validator: Any) -> tuple[str, str]:
    from medlarpass_daemon.settings import schema

    plain = {
        schema.name: ("name", NO_BOUNDS),
        schema.ip: ("IP number", NO_BOUNDS),
        schema.port: ("port", f"1 to {schema.MAX_PORT}"),
        schema.endpoint: ("IP:PORT", NO_BOUNDS),
        schema.text: ("text", NO_BOUNDS),
    }
    if validator in plain:
        return plain[validator]
    values = inspect.getclosurevars(validator).nonlocals
    if "what" in values:
        return str(values["what"]), NO_BOUNDS
    if "low" in values:
        kind = validator.__qualname__.partition(".")[0]
        kind = {"count": "integer"}.get(kind, kind)
        return kind, f"{values['low']} to {values['high']}"
    name = validator.__name__
    return {"_name": "name", "_digest": "64 hex digits"}.get(name, name), NO_BOUNDS


def _list_item(validator: Any) -> Any:
    for part in _flatten(validator):
        if isinstance(part, list):
            return part[0]
    return None


def _flatten(validator: Any) -> list[Any]:
    """Return the parts of a validator, flattening nested ``All``."""
    if isinstance(validator, vol.All):
        return [part for inner in validator.validators for part in _flatten(inner)]
    return [validator]


def _default(marker: Any) -> str:
    if isinstance(marker, vol.Required):
        return REQUIRED
    if isinstance(marker.default, vol.Undefined):
        return ABSENT
    value = marker.default()
    if value == {}:
        return "all defaults"
    return str(value).lower() if isinstance(value, bool) else str(value)


def main() -> int:
    """Print the differences of all documents."""
    count = 0
    for document, heading in TABLES:
        lines = differences(document, heading)
        count += len(lines)
        if lines:
            print(f"{document}, {heading}:")
        for line in lines:
            print(f"  {line}")
    return 1 if count else 0


if __name__ == "__main__":
    sys.path[:0] = [str(source) for source in SOURCES]
    sys.exit(main())
