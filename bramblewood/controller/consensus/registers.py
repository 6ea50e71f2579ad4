"""The names of the registers whose values the controllers agree on.

The names are stored on disk and sent between controllers, so they must not change.
"""

CONFIG = "config"
TABLE = "table"
VOTER_SET = "members"  # its value is the voter set of the next epoch

DATA_REGISTERS = (CONFIG, TABLE)
ALL_REGISTERS = (*DATA_REGISTERS, VOTER_SET)  # all registers have the same voters and epochs
