"""The load tool: real controllers on loopback with simulated workers, state service, cloud and users around them.

`runner` starts all processes of a run and measures them; `observer` checks PROTOCOL's rules on the recorded history.
PROTOCOL is the specification of what controllers, workers, the state service, the cloud and users send each other.
"""
