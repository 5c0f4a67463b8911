"""pepperlatch: a cluster scheduler whose controllers share nothing but a state service."""

__version__ = "0.4.0"
