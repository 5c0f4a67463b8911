"""Every chosen number, with unit and reason; a module a subsystem."""
