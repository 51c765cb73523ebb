"""YAML loader that refuses repeated keys."""

from __future__ import annotations

from typing import Any

import yaml

from yaml.constructor import ConstructorError


class UniqueKeyLoader(yaml.SafeLoader):
    """Safe loader; plain YAML would silently keep only the last of two equal keys."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Any, Any]:
        """Build a mapping.

        :raises ConstructorError: when a key is repeated
        """
        keys = [self.construct_object(key, deep=True) for key, _ in node.value]
        for number, key in enumerate(keys):
            if key in keys[:number]:
                raise ConstructorError(
                    None, None, f"key {key!r} is repeated", node.value[number][0].start_mark
                )
        return super().construct_mapping(node, deep)
