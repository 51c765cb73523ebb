"""YAML loader that rejects duplicate keys."""

from __future__ import annotations

from typing import Any

import yaml

from yaml.constructor import ConstructorError


class UniqueKeyLoader(yaml.SafeLoader):
    """Safe loader that rejects duplicate keys; PyYAML would silently keep only the last value."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Any, Any]:
        """Construct a mapping.

        :raises ConstructorError: when a key is repeated
        """
        keys = [self.construct_object(key, deep=True) for key, _ in node.value]
        for index, key in enumerate(keys):
            if key in keys[:index]:
                raise ConstructorError(
                    None, None, f"key {key!r} is repeated", node.value[index][0].start_mark
                )
        return super().construct_mapping(node, deep)
