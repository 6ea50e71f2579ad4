"""Messages to events, orders to calls: one file for each party that a manager talks to."""
