"""The layout of DNS messages (RFC 1035 section 4.1), for code that handles their bytes."""

ID_BYTES = 2
HEADER_BYTES = 12
QUESTION_END_BYTES = 5  # the root label, the type and the class
RESPONSE_FLAG = 0x80  # in the third byte of the header
OPCODE_BITS = 0x78  # in the third byte of the header
OPCODE_AND_RD_BITS = 0x79  # in the third byte of the header; a response copies them from the query
MAX_PLAIN_UDP_BYTES = 512  # of a message over UDP without EDNS (section 4.2.1)
MAX_MESSAGE_BYTES = 65535
TCP_LENGTH_BYTES = 2  # of the length field before each message over TCP (section 4.2.2)


def question_bytes(message: bytes) -> bytes:
    """Return the bytes of the first question of a well-formed message that has a question."""
    labels_end = message.index(b"\0", HEADER_BYTES)
    return message[HEADER_BYTES : labels_end + QUESTION_END_BYTES]
