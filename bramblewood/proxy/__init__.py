"""The desk: an edge machine that takes clients' requests and carries them to workers."""
