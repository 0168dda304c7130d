"""Network transports: streams, a listener, HTTP/1.1 and ORCA load reports."""
