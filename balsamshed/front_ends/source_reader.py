"""Reads complete lists of objects from the store, page by page."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final

from balsamshed.edge.effects import ReadSource
from balsamshed.front_ends.http_session import (
    HttpFailure,
    HttpResponse,
    HttpSession,
)
from balsamshed.store.polling import READ_TIMEOUT_SECONDS, Source

#: Limit on the pages of one list. The largest group of endpoints has 150, and
#: an object that is odd or large may end a page early.
MAX_PAGES: Final = 400

_OK: Final = 200


@dataclass(frozen=True, slots=True)
class ListPage:
    """One page of a list.

    Parameters
    ----------
    items : tuple of object
        What the store format keeps of each object.
    revision : int
        Store revision of the page, with its era; see `combine_revision`.
    next_after : str
        Name after which the next page starts; empty on the last page.
    """

    items: tuple[Any, ...]
    revision: int
    next_after: str


@dataclass(frozen=True, slots=True)
class SourceListing:
    """All pages of a source.

    Parameters
    ----------
    items : tuple of object
        What the store format keeps of each object of all pages.
    revision : int
        Lowest revision of the pages: each of them is at least as recent.
    max_revision : int
        Highest revision of the pages.
    """

    items: tuple[Any, ...]
    revision: int
    max_revision: int


@dataclass(frozen=True, slots=True)
class StoreFormat:
    """Paths and response format of the store's API.

    Parameters
    ----------
    format_path : callable
        Returns the path of the page that starts after a name, for an effect.
    decode_page : callable
        Decodes the body and the headers of a response with a page of a source;
        returns None if they are malformed. It keeps of each object only what
        its source uses, since others can write objects of any size.
    """

    format_path: Callable[[ReadSource, str], str]
    decode_page: Callable[[Source, bytes, Mapping[str, str]], ListPage | None]


#: Handles all pages of a source, or the failure to read them.
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
        Session to the store, without a request in progress.
    store_format : StoreFormat
        Format of the store's API.
    effect : ReadSource
        Source to read.
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
        page = _decode(outcome, store_format, effect.source)
        if isinstance(page, HttpFailure):
            handle_listing(page)
            return
        items.extend(page.items)
        revisions.append(page.revision)
        if not page.next_after:
            handle_listing(
                SourceListing(tuple(items), min(revisions), max(revisions)),
            )
        elif len(revisions) < MAX_PAGES:
            request_page(page.next_after)
        else:
            handle_listing(HttpFailure('too_many_pages'))

    request_page('')


def _decode(
    outcome: HttpResponse | HttpFailure,
    store_format: StoreFormat,
    source: Source,
) -> ListPage | HttpFailure:
    if isinstance(outcome, HttpFailure):
        return outcome
    if outcome.status != _OK:
        return HttpFailure(f'status_{outcome.status}')
    page = store_format.decode_page(source, outcome.body, outcome.headers)
    return HttpFailure('malformed') if page is None else page
