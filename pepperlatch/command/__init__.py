"""The command line; what is heavy is imported by the subcommand that needs it."""
