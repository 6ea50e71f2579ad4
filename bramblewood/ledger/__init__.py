"""Which facts last, and what a restart makes of them. Pure but for stage.py, which ties them to a store."""
