"""The controller, which is the control plane of the gateway.

A cluster has several controllers. They agree on the configuration, the slice table and the set of voters, and
decide which worker serves which slice. Proxies and workers connect to them.
"""
