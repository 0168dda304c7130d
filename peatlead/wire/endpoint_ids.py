"""Maps endpoint addresses of the wire protocol to the small integer ids of the planner."""


class EndpointIds:
    """The ids of one instance's endpoints, assigned in the order in which addresses are seen."""

    __slots__ = ("addresses", "ids")

    def __init__(self) -> None:
        self.addresses: list[bytes] = []  # indexed by id
        self.ids: dict[bytes, int] = {}  # address -> id

    def id_of(self, address: bytes) -> int:
        """Return the id of an address. A new address gets the next free id."""
        endpoint = self.ids.get(address)
        if endpoint is None:
            endpoint = self.ids[address] = len(self.addresses)
            self.addresses.append(address)
        return endpoint

    def address_of(self, endpoint: int) -> bytes:
        """Return the address of an endpoint. Raises IndexError if the id is not assigned."""
        return self.addresses[endpoint]
