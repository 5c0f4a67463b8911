"""The protocols to the outside: outer names, HTTP, and a client of each outside system."""
