"""The proxy (data plane) runs on an edge machine. It accepts client requests and forwards them to workers."""
