"""The answers of the platform's discovery service: whole endpoint lists and changes."""

from typing import Annotated, Literal, Optional

import msgspec
from msgspec import Meta, Struct, json

from ...interface import EndpointPhase, ListScope
from ...sources.endpoint_list import MAX_ENDPOINTS, EndpointList, ListedEndpoint
from .address import read_address
from .errors import MalformedMessageError
from .inbound import MILLISECONDS, Name

PHASES = {
    "active": EndpointPhase.READY,
    "leaving": EndpointPhase.DRAINING,
    "left": EndpointPhase.GONE,
}


class Instance(Struct, rename="camel"):
    """One endpoint of a list."""

    instance_id: Name
    host_port: str
    zone: str
    lifecycle: Literal["active", "leaving", "left"]
    machine_type: str = ""
    cell: int = 0
    weight: Annotated[float, Meta(ge=0, le=1e9)] = 1.0
    started_at_ms: Annotated[float, Meta(ge=0)] = 0.0  # Unix time


class InstanceName(Struct, rename="camel"):
    """The name alone of an entry that is invalid otherwise."""

    instance_id: Name


class InstanceList(Struct):
    """An answer of the service: the whole list if `reset`, else the changes since a generation."""

    generation: int
    instances: list[msgspec.Raw]
    reset: bool = False


LIST_DECODER = json.Decoder(InstanceList)
INSTANCE_DECODER = json.Decoder(Instance)
NAME_DECODER = json.Decoder(InstanceName)


def read_endpoint_list(body: bytes, received_at: float) -> EndpointList:
    """Parse an answer that came at `received_at`, in Unix seconds.

    An invalid entry is left out and does not cost the others.
    Raises MalformedMessageError for what is no list.
    """
    instance_list = decode_instance_list(body)
    endpoints: dict[str, ListedEndpoint] = {}
    errors: list[str] = []
    unread: list[Optional[str]] = []
    for index, raw_instance in enumerate(instance_list.instances):
        try:
            entry = to_listed_endpoint(INSTANCE_DECODER.decode(raw_instance))
            endpoints[entry.name] = entry
        except (msgspec.MsgspecError, ValueError) as problem:
            errors.append(f"host {index}: {problem}")
            unread.append(name_of(raw_instance))
    return EndpointList(
        ListScope.WHOLE if instance_list.reset else ListScope.CHANGES,
        instance_list.generation,
        received_at,
        tuple(endpoints.values()),
        tuple(errors),
        tuple(unread),
    )


def decode_instance_list(body: bytes) -> InstanceList:
    """Parse an answer, but not its entries. Raises MalformedMessageError."""
    try:
        instance_list = LIST_DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as problem:
        raise MalformedMessageError(f"not a list: {problem}") from None
    count = len(instance_list.instances)
    if count > MAX_ENDPOINTS:
        raise MalformedMessageError(f"expected at most {MAX_ENDPOINTS} hosts, got {count}")
    return instance_list


def name_of(raw_instance: msgspec.Raw) -> Optional[str]:
    """Return the name of an invalid entry, or None where that can't be read either."""
    try:
        return NAME_DECODER.decode(raw_instance).instance_id
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def to_listed_endpoint(instance: Instance) -> ListedEndpoint:
    """Return a valid entry as sources give it. Raises ValueError for its address."""
    address = read_address(instance.host_port)
    return ListedEndpoint(
        name=instance.instance_id,
        zone=instance.zone,
        phase=PHASES[instance.lifecycle],
        address=address.host,
        port=address.port,
        machine=instance.machine_type,
        pod=instance.cell,
        weight=instance.weight,
        started=instance.started_at_ms / MILLISECONDS,
    )
