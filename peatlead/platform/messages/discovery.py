"""Parsing of the discovery service's answers: complete endpoint lists and changes to them."""

from typing import Annotated, Literal, Optional

import msgspec
from msgspec import Meta, Struct, json

from ...interface import EndpointPhase, ListScope
from ...planner.input_bounds import DEFAULT_WEIGHT, MAX_WEIGHT
from ...sources.endpoint_list import MAX_ENDPOINTS, EndpointList, ListedEndpoint
from .address import read_address
from .errors import MalformedMessageError
from .inbound import MILLISECONDS_PER_SECOND, Name

PHASE_BY_LIFECYCLE = {
    "active": EndpointPhase.READY,
    "leaving": EndpointPhase.DRAINING,
    "left": EndpointPhase.GONE,
}


class Instance(Struct, rename="camel"):
    """One endpoint of an answer."""

    instance_id: Name
    host_port: str
    zone: str
    lifecycle: Literal["active", "leaving", "left"]
    machine_type: str = ""
    cell: int = 0
    weight: Annotated[float, Meta(ge=0, le=MAX_WEIGHT)] = DEFAULT_WEIGHT
    started_at_ms: Annotated[float, Meta(ge=0)] = 0.0  # Unix time in milliseconds


class InstanceName(Struct, rename="camel"):
    """The name of an entry whose other fields may be invalid."""

    instance_id: Name


class InstanceList(Struct):
    """An answer of the discovery service.

    It contains all endpoints if `reset` is true, and otherwise the changes since the generation
    that the request named.
    """

    generation: int
    instances: list[msgspec.Raw]
    reset: bool = False


LIST_DECODER = json.Decoder(InstanceList)
INSTANCE_DECODER = json.Decoder(Instance)
NAME_DECODER = json.Decoder(InstanceName)


def read_endpoint_list(body: bytes, received_at: float) -> EndpointList:
    """Parse an answer that was received at `received_at`, in Unix seconds.

    Invalid entries are left out and reported in the result; the valid ones are used. Raises
    MalformedMessageError if the body is not an endpoint list.
    """
    instance_list = decode_instance_list(body)
    endpoints: dict[str, ListedEndpoint] = {}
    errors: list[str] = []
    unusable_names: list[Optional[str]] = []
    for index, raw_instance in enumerate(instance_list.instances):
        try:
            entry = to_listed_endpoint(INSTANCE_DECODER.decode(raw_instance))
            endpoints[entry.name] = entry
        except (msgspec.MsgspecError, ValueError) as error:
            errors.append(f"entry {index}: {error}")
            unusable_names.append(decode_name(raw_instance))
    return EndpointList(
        ListScope.WHOLE if instance_list.reset else ListScope.CHANGES,
        instance_list.generation,
        received_at,
        tuple(endpoints.values()),
        tuple(errors),
        tuple(unusable_names),
    )


def decode_instance_list(body: bytes) -> InstanceList:
    """Parse an answer without decoding its entries. Raises MalformedMessageError."""
    try:
        instance_list = LIST_DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessageError(f"not an endpoint list: {error}") from None
    count = len(instance_list.instances)
    if count > MAX_ENDPOINTS:
        raise MalformedMessageError(f"expected at most {MAX_ENDPOINTS} endpoints, got {count}")
    return instance_list


def decode_name(raw_instance: msgspec.Raw) -> Optional[str]:
    """Return the name of an invalid entry, or None if the name is invalid too."""
    try:
        return NAME_DECODER.decode(raw_instance).instance_id
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def to_listed_endpoint(instance: Instance) -> ListedEndpoint:
    """Convert a decoded entry. Raises ValueError if its address is invalid."""
    address = read_address(instance.host_port)
    return ListedEndpoint(
        name=instance.instance_id,
        zone=instance.zone,
        phase=PHASE_BY_LIFECYCLE[instance.lifecycle],
        address=address.host,
        port=address.port,
        machine=instance.machine_type,
        pod=instance.cell,
        weight=instance.weight,
        started=instance.started_at_ms / MILLISECONDS_PER_SECOND,
    )
