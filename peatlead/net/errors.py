"""Tells shortages on this machine from errors of the peer, and transient from permanent errors.

Source: socket(2), connect(2), accept(2) and open(2) of the Linux manual pages.
"""

import errno

# This machine lacks a descriptor, buffer, memory, port or route; the peer was not contacted.
LOCAL_SHORTAGE_ERRNOS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.ENETUNREACH,
        errno.ENETDOWN,
        errno.EAGAIN,
        errno.EINTR,
    }
)
# After these errors, opening a listener or a file may succeed on a retry.
TRANSIENT_ERRNOS = LOCAL_SHORTAGE_ERRNOS | {errno.EADDRINUSE, errno.EIO, errno.ESTALE}


def is_local_shortage(error: OSError) -> bool:
    """Return whether the error is a shortage on this machine, which says nothing about the peer."""
    return error.errno in LOCAL_SHORTAGE_ERRNOS


def is_transient(error: OSError) -> bool:
    """Return whether opening a listener or a file may succeed on a retry after the error."""
    return error.errno in TRANSIENT_ERRNOS
