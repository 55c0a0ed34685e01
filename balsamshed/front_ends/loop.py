"""The event loop: Twisted's epoll reactor with few imports.

A balancer on a fifth of a core spends more time on loading modules than on
anything else when it starts. The reactor imports clients of HTTP, cookies,
mail and TLS that a balancer never uses.
"""

import sys
from importlib.machinery import ModuleSpec
from importlib.util import LazyLoader, find_spec, module_from_spec
from typing import Any, Final

#: Twisted imports these for names that a balancer does not use.
_DEFERRED_MODULES: Final = ('http.cookiejar',)
#: TLS: Twisted does without if they cannot be imported.
_EXCLUDED_MODULES: Final = ('OpenSSL',)


def create_reactor() -> Any:
    """Create and install the reactor of this process.

    Returns
    -------
    twisted.internet.epollreactor.EPollReactor
        The reactor, not running yet.
    """
    modules: dict[str, Any] = dict.fromkeys(_EXCLUDED_MODULES)
    sys.modules.update(modules)
    for name in _DEFERRED_MODULES:
        defer_import(name)
    from twisted.internet.epollreactor import EPollReactor
    from twisted.internet.main import installReactor

    reactor = EPollReactor()
    installReactor(reactor)
    return reactor


def defer_import(name: str) -> None:
    """Let a module be loaded when one of its names is first used."""
    if name in sys.modules:
        return
    spec = find_spec(name)
    if spec is None or spec.loader is None:
        return
    loader = LazyLoader(spec.loader)
    lazy_spec = ModuleSpec(name, loader, origin=spec.origin)
    lazy_spec.submodule_search_locations = spec.submodule_search_locations
    module = module_from_spec(lazy_spec)
    sys.modules[name] = module
    loader.exec_module(module)
