"""Mechanisms below the policy: state, event dispatch, acknowledgements and averages. They decide nothing."""
