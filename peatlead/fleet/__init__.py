"""Several controllers over one fleet: who is alive, whose a proxy is, and whose orders count."""
