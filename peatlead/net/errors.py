"""Which errors of system calls tell of this machine and not of the peer.

Source: socket(2), connect(2), accept(2), open(2) of the Linux manual pages.
"""

import errno

# No descriptor, buffer, memory, port or route here: nothing was asked of the peer.
LOCAL_SHORTAGE = frozenset(
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
# Those with which a call that opens a listener or a file may succeed a moment later.
PASSING = LOCAL_SHORTAGE | {errno.EADDRINUSE, errno.EIO, errno.ESTALE}


def is_local(problem):
    """Whether an OSError tells nothing of the peer."""
    return problem.errno in LOCAL_SHORTAGE


def may_pass(problem):
    """Whether the same call may succeed a moment later."""
    return problem.errno in PASSING
