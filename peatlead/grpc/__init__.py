"""The gRPC server: xDS v3 aggregated discovery and LRS v3 load reports over HTTP/2."""
