"""Classification of operating system errors: caused by this machine, or by the peer.

Source: socket(2), connect(2), accept(2) and open(2) of the Linux manual pages.
"""

import errno

# This machine lacks a descriptor, buffer, memory, port or route: the peer was not asked at all.
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
# A call that opens a listener or a file may succeed a moment after one of these.
TRANSIENT_ERRNOS = LOCAL_SHORTAGE_ERRNOS | {errno.EADDRINUSE, errno.EIO, errno.ESTALE}


def is_local_shortage(error: OSError) -> bool:
    """Return whether the error was caused by this machine and says nothing about the peer."""
    return error.errno in LOCAL_SHORTAGE_ERRNOS


def is_transient(error: OSError) -> bool:
    """Return whether the error is transient: the same call may succeed a moment later."""
    return error.errno in TRANSIENT_ERRNOS
