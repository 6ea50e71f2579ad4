"""The operator's own file: S-expressions, read and checked as one value."""
