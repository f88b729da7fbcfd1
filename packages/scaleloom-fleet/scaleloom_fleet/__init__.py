"""The processes of the fleet: gateways, routers and the targets' sidecars."""
