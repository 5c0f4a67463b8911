"""What is said to the outside: spellings, HTTP, and a client of each outside system."""
