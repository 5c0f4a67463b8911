"""The operators' and members' view of the scheduler: its data model, job history, terminal console and HTML report."""
