"""Tests of the load tool: its simulated parts follow PROTOCOL, its observer finds breaches, and a run completes."""
