"""Pipeline files, the runs that are created from them, and their schedules."""
