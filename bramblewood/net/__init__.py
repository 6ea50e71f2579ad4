"""The real manager, by layer: transport, protocol, routing, program. Each imports only what lies below it."""
