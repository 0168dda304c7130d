"""The messages of the platform's protocol, parsed into typed values and written. No I/O.

The platform's names and units (milliseconds, `endpoint`, `rtt`, `route`) stay in this package.
Whatever is received is validated as a whole before any of it is used: `MalformedMessageError` where
it is no message at all, `InvalidFieldError` where a message has a field that is missing, of another
type or out of range.

Source: the platform's pages on its protocol and its deployment.
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
    LINE_LIMIT,
    RETRY_POLICY_CODES,
    Admission,
    TableUpdate,
    write_error,
    write_push,
)

__all__ = [
    "ALIVE",
    "ENCODER",
    "LINE_LIMIT",
    "RETRY_POLICY_CODES",
    "Acknowledgement",
    "Address",
    "Admission",
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
