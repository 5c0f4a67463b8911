"""Tests of heartbeats that followers forward to the leader, or answer themselves on its delegation."""
