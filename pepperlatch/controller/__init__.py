"""A controller node: its state, who leads, what a leader does, what users and operators ask."""
