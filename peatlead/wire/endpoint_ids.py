"""One instance's ids of endpoints: addresses on the wire, small integers in the planner."""


class EndpointIds:
    """Gives each address the next integer when it is first met."""

    __slots__ = ("addresses", "ids")

    def __init__(self) -> None:
        self.addresses: list[bytes] = []  # by id
        self.ids: dict[bytes, int] = {}

    def id_of(self, address: bytes) -> int:
        """The id of an address, a new one where it has none yet."""
        endpoint = self.ids.get(address)
        if endpoint is None:
            endpoint = self.ids[address] = len(self.addresses)
            self.addresses.append(address)
        return endpoint

    def address_of(self, endpoint: int) -> bytes:
        """The address that has the id; IndexError where none has."""
        return self.addresses[endpoint]
