"""The proxy (data plane): an edge machine that takes clients' requests and forwards them to workers."""
