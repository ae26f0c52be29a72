"""The fleet: entry hosts that dispatch, control hosts that agree, and what they share.

Control hosts agree on the routes and on which entry host runs the dispatcher of each
data centre; entry hosts learn both, take jobs in and start their tasks.
"""
