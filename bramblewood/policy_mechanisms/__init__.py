"""Mechanisms under the policy: state, event dispatch, acknowledgements, averages. Nothing is decided here."""
