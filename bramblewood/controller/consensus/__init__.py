"""Agreement among controllers: a majority of the voters chooses each version of a register's value.

The same protocol changes the set of voters itself. The package performs no I/O: `controller/quorum_io.py`
passes messages in, and carries out the effects that come back. Modules in parentheses are parts of the
module on the same line.

replica           the registers at one controller; the interface of this package
acceptor          what this disk has promised and accepted, by register
proposer          the rounds that carry the changes proposed here (`proposal_round`, `proposer_backoff`)
learner           the values that are chosen
epochs            the transition from one voter set to the next
local_member      this controller's address, disk and epoch (`voter_set`)
messages          the messages between controllers and their wire forms (`epoch_messages`, `proposal_number`)
registers         the names of the registers
effects           what the caller writes, sends and answers after a step
membership        the change of the voter set that is due (`peer_status`, `quorum`, `membership_view`)
timing            timeouts and retry intervals
"""
