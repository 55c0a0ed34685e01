"""Modules that are imported when they are first used."""

import sys
from types import ModuleType
from typing import Any


class _DeferredModule(ModuleType):
    """Placeholder that imports its module when an attribute is read."""

    def __getattr__(self, attribute: str) -> Any:
        from importlib import import_module

        name = self.__name__
        if sys.modules.get(name) is self:
            del sys.modules[name]
        return getattr(import_module(name), attribute)


def defer_import(name: str) -> None:
    """Let a later import of a module take effect on its first use only.

    Parameters
    ----------
    name : str
        Name of a module outside any package; unless it has been imported.
    """
    sys.modules.setdefault(name, _DeferredModule(name))
