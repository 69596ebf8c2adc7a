"""WebSocket (RFC 6455) under the same rules as requests. Imported only where the operators' file names
`websocket.sockets`."""
