"""Writes results as a table or as JSON."""

from __future__ import annotations

import json

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence
    from typing import TextIO

COLUMN_SEPARATOR = "  "


class Output:
    """Writes the result of a command.

    :param output_format: ``table`` or ``json``
    :param stream: receives results
    :param error_stream: receives errors
    """

    def __init__(self, output_format: str, stream: TextIO, error_stream: TextIO) -> None:
        self.output_format = output_format
        self.stream = stream
        self.error_stream = error_stream

    def write_rows(
        self,
        columns: Sequence[str],
        rows: Iterable[Mapping[str, Any]],
        document: Mapping[str, Any],
    ) -> None:
        """Write rows with the given columns, or the whole document as JSON."""
        if self.output_format == "json":
            self.write_document(document)
            return
        cells = [[column.upper() for column in columns]]
        cells += [[_format_cell(row.get(column)) for column in columns] for row in rows]
        widths = [max(len(row[index]) for row in cells) for index in range(len(columns))]
        for row in cells:
            padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
            self.stream.write(COLUMN_SEPARATOR.join(padded).rstrip() + "\n")

    def write_document(self, document: Mapping[str, Any]) -> None:
        """Write a document as JSON."""
        self.stream.write(json.dumps(document, indent=2, sort_keys=True) + "\n")

    def write_line(self, text: str, document: Mapping[str, Any]) -> None:
        """Write one line, or the whole document as JSON."""
        if self.output_format == "json":
            self.write_document(document)
            return
        self.stream.write(_escape_control_characters(text) + "\n")

    def write_error(self, code: str, message: str, outcome: str) -> None:
        """Write an error to the error stream."""
        if self.output_format == "json":
            text = json.dumps({"code": code, "message": message, "outcome": outcome})
        else:
            text = f"medlarpass: {code}: {_escape_control_characters(message)}"
        self.error_stream.write(text + "\n")


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(_format_cell(item) for item in value) or "-"
    if isinstance(value, dict):
        return _escape_control_characters(json.dumps(value, sort_keys=True))
    return _escape_control_characters(str(value)) or "-"


def _escape_control_characters(text: str) -> str:
    """Escape control characters, so that they can't change what the terminal shows."""
    return "".join(
        character if character.isprintable() else character.encode("unicode_escape").decode()
        for character in text
    )
