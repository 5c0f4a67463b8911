"""Pure decisions: no clock, no socket; `now` is an argument."""
