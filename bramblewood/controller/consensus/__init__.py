"""Agreement among controllers: registers whose versions a majority of the voters chooses, and who votes.

replica           the registers at one controller; what the server talks to
acceptor          what this disk has promised and accepted, per register
proposer          rounds that carry the changes proposed here (`proposal_round`, `proposer_backoff`)
learner           which values are chosen
epochs            from one set of voters to the next
local_member      this controller's place among the voters (`voter_set`)
messages          the messages between controllers and their form on the wire (`proposal_number`, `registers`)
effects           what a step asks of the server: writes, then messages and answers
membership        which change of the voters is due (`peer_status`, `quorum`, `membership_view`)
"""
