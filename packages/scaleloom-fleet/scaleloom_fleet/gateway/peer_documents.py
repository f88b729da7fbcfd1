"""Documents of the store that one router hands to another."""

import logging
import socket
import zlib

import msgspec
import trio

from scaleloom_core.catching_up import Knowledge
from scaleloom_fleet.gateway.documents import (
    apply_config_document,
    apply_target_documents,
)
from scaleloom_fleet.gateway.peer_messages import PeerDocuments, PeerQuery
from scaleloom_fleet.gateway.state import GatewayState, pack_entries
from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.http1.sockets import ConnectionLost, NoDescriptor
from scaleloom_fleet.utils.addresses import Address

CONNECT_TIMEOUT_S = 0.4
FETCH_TIMEOUT_S = 1.5
SILENCE_MS = 600
QUERY_LIMIT_BYTES = 256
# More would share one thin link until none of them ends in time.
GIVE_LIMIT = 4
_decoder = msgspec.msgpack.Decoder(PeerDocuments)
_entries_decoder = msgspec.msgpack.Decoder(dict[str, bytes])
_logger = logging.getLogger("scaleloom.peers")


def own_knowledge(state: GatewayState) -> Knowledge:
    """Return what this router knows."""
    version = state.routing.version if state.routing else -1
    return Knowledge(version, state.view.list_position, state.view.digest)


async def fetch_documents(state: GatewayState, peer: Address) -> None:
    """Take in what `peer` knows and this router does not."""
    own = own_knowledge(state)
    query = PeerQuery(own.config_version, own.list_position, own.list_digest)
    data = b""
    with trio.move_on_after(FETCH_TIMEOUT_S):
        data = await _ask(peer, msgspec.msgpack.encode(query))
    try:
        documents = _decoder.decode(data)
        config = zlib.decompress(documents.config) if documents.config else b""
    except (msgspec.DecodeError, zlib.error):
        _logger.info("no documents from a peer", extra={"peer": str(peer)})
        return
    if config:
        apply_config_document(state, config)
    if documents.targets:
        _apply_targets(state, documents, own)
    fields = {"peer": str(peer), "bytes": len(data)}
    _logger.info("documents taken from a peer", extra=fields)


def _apply_targets(
    state: GatewayState, documents: PeerDocuments, asked_with: Knowledge
) -> None:
    """Take in a peer's list of targets, or what changed since the own one."""
    try:
        entries = _entries_decoder.decode(zlib.decompress(documents.targets))
    except (msgspec.DecodeError, zlib.error) as error:
        _logger.error("list of a peer unreadable", extra={"why": str(error)})
        return
    if documents.is_change:
        if state.view.digest != asked_with.list_digest:
            # Another reading came first; its report will be followed again.
            _logger.info("change of another list than the own one")
            return
        entries = {**state.listed_documents, **entries}
        for key in documents.gone:
            entries.pop(key, None)
    confirmed_s = trio.current_time() - documents.list_age_ms / 1000.0
    apply_target_documents(state, entries, documents.list_position, confirmed_s)


async def _ask(peer: Address, query: bytes) -> bytes:
    """Return everything that `peer` answers to `query`."""
    try:
        connection = await sockets.connect(peer, CONNECT_TIMEOUT_S, SILENCE_MS)
    except NoDescriptor as error:
        _logger.warning("no descriptor for a peer", extra={"why": str(error)})
        return b""
    if connection is None:
        return b""
    parts: list[bytes] = []
    try:
        await sockets.send_all(connection, query)
        while data := await sockets.receive(connection):
            parts.append(data)
    except ConnectionLost:
        return b""
    finally:
        sockets.close(connection)
    return b"".join(parts)


class DocumentServer:
    """
    Gives peers what the store told this router, to a few at a time.

    Parameters
    ----------
    state : GatewayState
        Holds the documents.
    """

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._giving = 0

    async def serve_forever(
        self, listener: socket.socket, nursery: trio.Nursery
    ) -> None:
        """Answer every peer that asks at `listener`."""
        while True:
            connection = await sockets.accept(listener)
            nursery.start_soon(self._serve, connection)

    async def _serve(self, connection: socket.socket) -> None:
        """Answer one peer, unless as many as can be are being answered."""
        try:
            if self._giving < GIVE_LIMIT:
                self._giving += 1
                try:
                    await self._answer(connection)
                finally:
                    self._giving -= 1
        finally:
            sockets.close(connection)

    async def _answer(self, connection: socket.socket) -> None:
        """Send what the asking peer lacks."""
        try:
            with trio.move_on_after(FETCH_TIMEOUT_S):
                query = await _read_query(connection)
                if query is not None:
                    data = msgspec.msgpack.encode(self._documents_for(query))
                    await sockets.send_all(connection, data)
        except ConnectionLost:
            pass

    def _documents_for(self, query: PeerQuery) -> PeerDocuments:
        """Return what this router knows and the asking one does not."""
        state = self._state
        theirs = Knowledge(query.config_version, query.list_position, query.list_digest)
        own = own_knowledge(state)
        documents = PeerDocuments(
            state.packed_config() if own.has_newer_config(theirs) else b"",
            state.view.list_position,
            state.freshness.age_ms(trio.current_time()),
        )
        if own.list_position <= theirs.list_position:
            return documents
        change = state.list_history.change_since(theirs.list_digest)
        if change is None:
            return msgspec.structs.replace(documents, targets=state.packed_targets())
        changed = {key: state.listed_documents[key] for key in change.changed}
        return msgspec.structs.replace(
            documents,
            targets=pack_entries(changed),
            is_change=True,
            gone=sorted(change.gone),
        )


async def _read_query(connection: socket.socket) -> PeerQuery | None:
    """Return the question that a peer sends, or None if it sends none."""
    data = b""
    while len(data) < QUERY_LIMIT_BYTES:
        part = await sockets.receive(connection)
        if not part:
            return None
        data += part
        try:
            return msgspec.msgpack.decode(data, type=PeerQuery)
        except msgspec.ValidationError:
            return None
        except msgspec.DecodeError:
            continue
    return None
