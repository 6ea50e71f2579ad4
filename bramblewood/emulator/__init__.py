"""The emulator: workers, clients and an operator written from the protocol, to try the gateway with."""
