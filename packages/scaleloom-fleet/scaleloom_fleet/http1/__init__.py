"""HTTP/1.1 connections over non-blocking sockets; `h11` parses the protocol."""
