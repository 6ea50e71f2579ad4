"""Sockets: one loop, connections, a listener, datagrams. Knows no message."""
