"""Constants, with units and reasons; a module for each subsystem."""
