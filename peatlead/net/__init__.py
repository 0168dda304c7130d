"""Transports: streams on BufferedProtocol, datagrams, and HTTP/1.1 exchanges on the streams."""
