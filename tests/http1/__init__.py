"""Tests of HTTP/1.1 over non-blocking sockets."""
