"""Command ``check``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from medlarpass import MedlarpassError
from medlarpass_cli.exceptions import UsageError
from medlarpass_cli.tables_file import has_tables
from medlarpass_cli.tables_file import load_tables
from medlarpass_cli.tables_file import load_yaml

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class Check:
    """Checks settings files and table files without a control replica."""

    name = "check"
    summary = "check settings files and table files"
    examples = "medlarpass check entry.yaml tables.yaml"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        parser.add_argument(
            "files",
            nargs="+",
            type=Path,
            metavar="FILE",
            help="a file with routes or pools holds tables, any other one settings",
        )

    async def run(self, context: Context) -> None:
        """Check all files and show a row for each.

        :raises UsageError: when a file can't be used
        """
        rows = [_check_file(path) for path in context.arguments.files]
        context.output.write_rows(["file", "kind", "result"], rows, {"files": rows})
        invalid_files = [row["file"] for row in rows if row["result"] != "ok"]
        if invalid_files:
            raise UsageError(f"can't be used: {', '.join(invalid_files)}")


def _check_file(path: Path) -> dict[str, str]:
    kind = "unknown"
    try:
        kind = "tables" if has_tables(load_yaml(path)) else "settings"
        if kind == "tables":
            load_tables(path)
        else:
            _check_settings(path)
    except MedlarpassError as error:
        return {"file": str(path), "kind": kind, "result": error.message}
    return {"file": str(path), "kind": kind, "result": "ok"}


def _check_settings(path: Path) -> None:
    # The operators' hosts need not have the daemon installed.
    try:
        from medlarpass_daemon.settings import load_settings
    except ImportError as error:
        raise UsageError(f"{path}: medlarpass-daemon is needed to check settings") from error
    load_settings(path)
