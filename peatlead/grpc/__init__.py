"""The gRPC front: assignments (xDS v3 aggregated discovery) and load reports (LRS v3) over HTTP/2."""
