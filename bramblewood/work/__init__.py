"""Background work under a budget, and a timing wheel. The clock is handed in."""
