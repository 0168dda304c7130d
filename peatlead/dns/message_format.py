"""The layout of DNS messages (RFC 1035 section 4.1), where bytes are handled directly."""

ID_BYTES = 2
HEADER_BYTES = 12
QUESTION_END_BYTES = 5  # after the question's labels: the root label, the type and the class
RESPONSE_FLAG = 0x80  # in the third byte
OPCODE_BITS = 0x78  # in the third byte
OPCODE_AND_RD_BITS = 0x79  # in the third byte: what a response copies of the query
PLAIN_UDP_BYTES = 512  # of a message without EDNS over UDP (section 4.2.1)
MAX_MESSAGE_BYTES = 65535
TCP_LENGTH_BYTES = 2  # of the length before each message over TCP (section 4.2.2)


def question_bytes(message: bytes) -> bytes:
    """Return the first question of a well-formed message that has one."""
    labels_end = message.index(b"\0", HEADER_BYTES)
    return message[HEADER_BYTES : labels_end + QUESTION_END_BYTES]
