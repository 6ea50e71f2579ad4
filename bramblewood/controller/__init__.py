"""The archive: a core machine that keeps what must last and decides which worker serves what."""
