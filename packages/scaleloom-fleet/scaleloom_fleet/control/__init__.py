"""Control traffic between the processes of the fleet: datagrams and gRPC calls."""
