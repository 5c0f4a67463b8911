"""Pipeline files, and the runs that are made of them."""
