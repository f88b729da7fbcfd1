"""Transfer of the platform's documents from one router to another over TCP."""

import logging
import socket
import zlib

import msgspec
import trio

from scaleloom_core.catch_up import DocumentVersions
from scaleloom_fleet.gateway.documents import (
    MAX_CONFIG_BYTES,
    MAX_TARGETS_BYTES,
    apply_config_document,
    apply_target_documents,
)
from scaleloom_fleet.gateway.interfaces import UNREADABLE
from scaleloom_fleet.gateway.peer_messages import PeerDocuments, PeerQuery
from scaleloom_fleet.gateway.state import GatewayState, compress_entries
from scaleloom_fleet.gateway.task_guard import run_once
from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.http1.connections import Connection, ConnectionLost
from scaleloom_fleet.http1.input_pace import InputPace
from scaleloom_fleet.http1.sockets import OutOfDescriptors
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.decompression import decompress

CONNECT_TIMEOUT_S = 0.4
FETCH_TIMEOUT_S = 1.5
SILENCE_TIMEOUT_MS = 600
MAX_QUERY_BYTES = 256
# Documents are sent compressed.
MAX_TRANSFER_BYTES = 1 << 22
# More transfers at once over a low-bandwidth link would all time out.
MAX_TRANSFERS = 4
_decoder = msgspec.msgpack.Decoder(PeerDocuments)
_entries_decoder = msgspec.msgpack.Decoder(dict[str, bytes])
_logger = logging.getLogger("scaleloom.peers")


def own_document_versions(state: GatewayState) -> DocumentVersions:
    """Return which versions of the documents this router has."""
    version = state.routing.version if state.routing else -1
    return DocumentVersions(version, state.view.list_position, state.view.digest)


async def fetch_documents(state: GatewayState, peer: Address) -> None:
    """Request newer documents from `peer` and apply them."""
    own = own_document_versions(state)
    query = PeerQuery(own.config_version, own.list_position, own.list_digest)
    queried_s = trio.current_time()
    data = b""
    with trio.move_on_after(FETCH_TIMEOUT_S):
        data = await _query_peer(peer, msgspec.msgpack.encode(query))
    try:
        documents = _decoder.decode(data)
        config = _decompress_config(documents)
    except (*UNREADABLE, zlib.error):
        _logger.info("peer sent no documents", extra={"peer": str(peer)})
        return
    if config:
        apply_config_document(state, config)
    if documents.targets:
        _apply_targets(state, documents, own, queried_s)
    fields = {"peer": str(peer), "bytes": len(data)}
    _logger.info("documents received from peer", extra=fields)


def _decompress_config(documents: PeerDocuments) -> bytes:
    """Return the configuration that a peer sent, or empty bytes."""
    if not documents.config:
        return b""
    return decompress(documents.config, MAX_CONFIG_BYTES)


def _apply_targets(
    state: GatewayState,
    documents: PeerDocuments,
    queried_with: DocumentVersions,
    queried_s: float,
) -> None:
    """
    Apply a peer's list of targets, or a delta to this router's list.

    Parameters
    ----------
    queried_with : DocumentVersions
        What the query said that this router has: the base of a delta.
    queried_s : float
        When the peer was queried. It told its list's age later, and its response may
        have been long on its way.
    """
    try:
        entries = _entries_decoder.decode(
            decompress(documents.targets, MAX_TARGETS_BYTES)
        )
    except (*UNREADABLE, zlib.error) as error:
        _logger.error("cannot decode target list from peer", extra={"why": str(error)})
        return
    if documents.is_delta:
        if state.view.digest != queried_with.list_digest:
            # The list was replaced meanwhile. The peer is asked again if its next
            # report still has a newer list.
            _logger.info("delta from peer does not apply to the current target list")
            return
        entries = {**state.listed_documents, **entries}
        for key in documents.removed_keys:
            entries.pop(key, None)
    confirmed_s = queried_s - documents.list_age_ms / 1000.0
    apply_target_documents(state, entries, documents.list_position, confirmed_s)


async def _query_peer(peer: Address, query: bytes) -> bytes:
    """Return the peer's response to `query`; empty if it fails or is too long."""
    try:
        connected = await sockets.connect(peer, CONNECT_TIMEOUT_S, SILENCE_TIMEOUT_MS)
    except OutOfDescriptors as error:
        _logger.warning(
            "no file descriptor for connecting to peer", extra={"why": str(error)}
        )
        return b""
    if connected is None:
        return b""
    connection = Connection(connected)
    documents = bytearray()
    pace = InputPace(str(peer))
    try:
        await connection.send_all(query)
        while data := await connection.receive(pace):
            pace.record_step(len(data))
            documents += data
            if len(documents) > MAX_TRANSFER_BYTES:
                return b""
    except ConnectionLost:
        return b""
    finally:
        connection.close()
    return bytes(documents)


class DocumentServer:
    """
    Sends this router's documents to peers, to a few at a time.

    Parameters
    ----------
    state : GatewayState
        Holds the documents.
    """

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._transfers = 0

    async def serve_forever(
        self, listener: socket.socket, nursery: trio.Nursery
    ) -> None:
        """Accept connections of peers at `listener`."""
        while True:
            connection = Connection(await sockets.accept(listener))
            nursery.start_soon(
                run_once, self._state, "document", self._serve, connection
            )

    async def _serve(self, connection: Connection) -> None:
        """Respond to one peer, or close the connection at `MAX_TRANSFERS`."""
        try:
            if self._transfers < MAX_TRANSFERS:
                self._transfers += 1
                try:
                    await self._respond(connection)
                finally:
                    self._transfers -= 1
        finally:
            connection.close()

    async def _respond(self, connection: Connection) -> None:
        """Read the peer's query and send the documents that it lacks."""
        try:
            with trio.move_on_after(FETCH_TIMEOUT_S):
                query = await _read_query(connection)
                if query is not None:
                    data = msgspec.msgpack.encode(self._missing_documents(query))
                    await connection.send_all(data)
        except ConnectionLost:
            pass

    def _missing_documents(self, query: PeerQuery) -> PeerDocuments:
        """Return the documents that are newer here than at the querying router."""
        state = self._state
        theirs = DocumentVersions(
            query.config_version, query.list_position, query.list_digest
        )
        own = own_document_versions(state)
        documents = PeerDocuments(
            state.compressed_config() if own.has_newer_config(theirs) else b"",
            state.view.list_position,
            state.freshness.age_ms(trio.current_time()),
        )
        if own.list_position <= theirs.list_position:
            return documents
        change = state.list_history.change_since(theirs.list_digest)
        if change is None:
            return msgspec.structs.replace(
                documents, targets=state.compressed_targets()
            )
        changed = {key: state.listed_documents[key] for key in change.changed}
        return msgspec.structs.replace(
            documents,
            targets=compress_entries(changed),
            is_delta=True,
            removed_keys=sorted(change.removed),
        )


async def _read_query(connection: Connection) -> PeerQuery | None:
    """Return the query that a peer sends, or None if it sends no valid one."""
    data = b""
    pace = InputPace(connection.peer_name)
    while len(data) < MAX_QUERY_BYTES:
        part = await connection.receive(pace)
        if not part:
            return None
        data += part
        try:
            return msgspec.msgpack.decode(data, type=PeerQuery)
        except (msgspec.ValidationError, RecursionError):
            return None
        except msgspec.DecodeError:
            continue
    return None
