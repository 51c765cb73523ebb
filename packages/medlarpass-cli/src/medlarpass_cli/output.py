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

GAP = "  "


class Output:
    """Writes the result of a command.

    :param form: ``table`` or ``json``
    :param stream: where results go
    :param error_stream: where errors go
    """

    def __init__(self, form: str, stream: TextIO, error_stream: TextIO) -> None:
        self.form = form
        self.stream = stream
        self.error_stream = error_stream

    def rows(
        self,
        columns: Sequence[str],
        rows: Iterable[Mapping[str, Any]],
        document: Mapping[str, Any],
    ) -> None:
        """Write rows with the given columns, or the whole document as JSON."""
        if self.form == "json":
            self.document(document)
            return
        cells = [[column.upper() for column in columns]]
        cells += [[_cell(row.get(column)) for column in columns] for row in rows]
        widths = [max(len(row[index]) for row in cells) for index in range(len(columns))]
        for row in cells:
            padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
            self.stream.write(GAP.join(padded).rstrip() + "\n")

    def document(self, document: Mapping[str, Any]) -> None:
        """Write a document as JSON."""
        self.stream.write(json.dumps(document, indent=2, sort_keys=True) + "\n")

    def line(self, text: str, document: Mapping[str, Any]) -> None:
        """Write one line, or the whole document as JSON."""
        if self.form == "json":
            self.document(document)
            return
        self.stream.write(_printable(text) + "\n")

    def error(self, code: str, message: str, outcome: str) -> None:
        """Write an error to the error stream."""
        if self.form == "json":
            text = json.dumps({"code": code, "message": message, "outcome": outcome})
        else:
            text = f"medlarpass: {code}: {_printable(message)}"
        self.error_stream.write(text + "\n")


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(_cell(item) for item in value) or "-"
    if isinstance(value, dict):
        return _printable(json.dumps(value, sort_keys=True))
    return _printable(str(value)) or "-"


def _printable(text: str) -> str:
    """Escape control characters, which could change what the terminal shows."""
    return "".join(
        letter if letter.isprintable() else letter.encode("unicode_escape").decode()
        for letter in text
    )
