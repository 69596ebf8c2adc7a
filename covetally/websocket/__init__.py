"""WebSocket connections (RFC 6455), under the same policies as plain requests. Imported only if the operators'
file sets `websocket.sockets`."""
