"""HTTP/1.1 over plain sockets, with the protocol left to the library."""
