"""Stories of the scale runs: their hollow parts keep PROTOCOL, their observer can fail, a small run plays."""
