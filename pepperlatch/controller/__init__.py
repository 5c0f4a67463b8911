"""A controller: its state, leader election, the work of leaders and followers, and what it serves to others."""
