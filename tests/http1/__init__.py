"""Tests of HTTP over plain sockets."""
