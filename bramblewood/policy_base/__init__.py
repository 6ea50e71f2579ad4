"""What the decisions in `policy/` rest on: parameters, state, event dispatch, averages. No decisions."""
