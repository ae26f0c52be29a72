"""Dispatch in a large fleet, split into control hosts and entry hosts.

Control hosts agree on the routing configuration and on which entry host runs the
dispatcher of each group of endpoints. Entry hosts follow both, accept jobs and start
their tasks.
"""
