"""Protobuf messages and gRPC stubs for calls between the processes of a fleet."""
