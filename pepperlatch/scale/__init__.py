"""Scale runs: real controllers on loopback beside hollow machines, services and users that follow the protocol."""
