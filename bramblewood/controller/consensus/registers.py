"""The registers whose values controllers agree on. Their names are stored on disk and sent on links."""

CONFIG = "config"
TABLE = "table"
VOTER_SET = "members"  # its value is the set of voters of the next epoch

DATA_REGISTERS = (CONFIG, TABLE)
ALL_REGISTERS = (*DATA_REGISTERS, VOTER_SET)  # they share their voters and epochs
