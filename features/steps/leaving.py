from behave import then

from bramblewood.controller.consensus.proposal_number import NO_PROPOSAL
from bramblewood.controller.consensus.registers import TABLE


@then("at {now:g} its word on ballot {proposal_number:d} is over")
def over(context, now, proposal_number):
    voters, known = {name: name for name in "abc"}, {TABLE: (1, proposal_number, "b", 1)}
    assert context.sessions.quorum_contact_until(now, voters, 1, known, {TABLE: NO_PROPOSAL}) < now
