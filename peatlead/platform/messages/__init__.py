"""Parsing and encoding of the messages of the platform's protocol. No I/O.

The platform's field names (`endpoint`, `rtt`, `route`) and its milliseconds are used only in this
package. Each received message is validated as a whole before any of its fields is used. Parsing
raises `MalformedMessageError` if the bytes are not a message, and `InvalidFieldError` if a field is
missing, has the wrong type or is out of range.

Source: the platform's documentation of its protocol and its deployment.
"""

from .address import Address, read_address
from .configuration_document import ConfigurationDocument, read_configuration_document
from .discovery import read_endpoint_list
from .errors import InvalidFieldError, MalformedMessageError, MessageError
from .inbound import (
    Acknowledgement,
    CollectorHello,
    EndpointOutcomes,
    InboundMessage,
    LivenessCheck,
    ProxyHello,
    RequestDemand,
    read_message,
)
from .load_reports import read_load_report, to_load_report
from .outbound import (
    ALIVE,
    ENCODER,
    MAX_LINE_BYTES,
    RETRY_POLICY_CODES,
    TableUpdate,
    write_error,
    write_push,
)

__all__ = [
    "ALIVE",
    "ENCODER",
    "MAX_LINE_BYTES",
    "RETRY_POLICY_CODES",
    "Acknowledgement",
    "Address",
    "CollectorHello",
    "ConfigurationDocument",
    "EndpointOutcomes",
    "InboundMessage",
    "InvalidFieldError",
    "LivenessCheck",
    "MalformedMessageError",
    "MessageError",
    "ProxyHello",
    "RequestDemand",
    "TableUpdate",
    "read_address",
    "read_configuration_document",
    "read_endpoint_list",
    "read_load_report",
    "read_message",
    "to_load_report",
    "write_error",
    "write_push",
]
