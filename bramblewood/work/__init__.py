"""A scheduler for background work under a time budget, and a timing wheel. Callers supply the time."""
