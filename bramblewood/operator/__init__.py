"""Reads and validates the operator's file, which is written in S-expressions."""
