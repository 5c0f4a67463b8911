"""Workers' heartbeats: which controller answers each, and on what authority."""
