"""Scheduling decisions. No module here does I/O or reads a clock; callers pass the time as `now`."""
