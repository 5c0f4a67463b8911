"""HTTP/1.1 over trio, framed by h11."""
