"""Reads of whole sources from the store, page by page."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from balsamshed.edge.effects import ReadSource
from balsamshed.front_ends.http_session import (
    HttpFailure,
    HttpResponse,
    HttpSession,
)
from balsamshed.store.polling import READ_TIMEOUT_SECONDS

#: Pages of one list at most: the largest group of endpoints has 150 pages.
MAX_PAGES: Final = 200

_OK: Final = 200


@dataclass(frozen=True, slots=True)
class ListPage:
    """One page of a list.

    Parameters
    ----------
    items : tuple of object
        Decoded objects.
    revision : int
        Revision of the store that the page shows.
    next_after : str
        Name to continue after; empty on the last page.
    """

    items: tuple[Any, ...]
    revision: int
    next_after: str


@dataclass(frozen=True, slots=True)
class SourceListing:
    """A whole source.

    Parameters
    ----------
    items : tuple of object
        Decoded objects of all pages.
    revision : int
        Revision that every page shows at least.
    highest_revision : int
        Highest revision that a page shows.
    """

    items: tuple[Any, ...]
    revision: int
    highest_revision: int


@dataclass(frozen=True, slots=True)
class StoreFormat:
    """How the store is spoken to.

    Parameters
    ----------
    format_path : callable
        Returns the path that lists what an effect reads, after a name.
    decode_page : callable
        Returns the page of a response's body, or None for another form.
    """

    format_path: Callable[[ReadSource, str], str]
    decode_page: Callable[[bytes], ListPage | None]


#: Takes a whole source, or why it could not be read.
ListingHandler = Callable[[SourceListing | HttpFailure], None]


def read_source(
    session: HttpSession,
    store_format: StoreFormat,
    effect: ReadSource,
    handle_listing: ListingHandler,
) -> None:
    """Read every page of a source.

    Parameters
    ----------
    session : HttpSession
        Connection to the store without a request in progress.
    store_format : StoreFormat
        Paths and pages.
    effect : ReadSource
        What to read.
    handle_listing : callable
        Called once, with the outcome.
    """
    items: list[Any] = []
    revisions: list[int] = []

    def request_page(after: str) -> None:
        session.get(
            store_format.format_path(effect, after),
            READ_TIMEOUT_SECONDS,
            handle_response,
        )

    def handle_response(outcome: HttpResponse | HttpFailure) -> None:
        page = _decode(outcome, store_format)
        if isinstance(page, HttpFailure):
            handle_listing(page)
            return
        items.extend(page.items)
        revisions.append(page.revision)
        if page.next_after and len(revisions) < MAX_PAGES:
            request_page(page.next_after)
        else:
            handle_listing(
                SourceListing(tuple(items), min(revisions), max(revisions)),
            )

    request_page('')


def _decode(
    outcome: HttpResponse | HttpFailure,
    store_format: StoreFormat,
) -> ListPage | HttpFailure:
    if isinstance(outcome, HttpFailure):
        return outcome
    if outcome.status != _OK:
        return HttpFailure(f'status_{outcome.status}')
    page = store_format.decode_page(outcome.body)
    return HttpFailure('malformed') if page is None else page
