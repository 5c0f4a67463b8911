"""The command line. Each subcommand imports what it needs itself, so that the others start fast."""
