"""What the bytes mean: pure, no sockets. The words of the wire are used here and nowhere above."""
