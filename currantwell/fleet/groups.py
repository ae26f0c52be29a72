"""Groups of endpoints: what one dispatcher orders.

A data centre whose starts are more than one process can carry is divided into several
groups. How many is settled once, when its first dispatchers are named, since an epoch
means something only within a group that never changes.
"""

import zlib

import msgspec

from ..ids import DataCentre, EndpointId

__all__ = ["EndpointGroup", "groups_of"]

# Each dispatcher costs every host what it takes to be told of its room. With three
# hosts a group the busiest host took 0.26 of a core, of 0.39 to 1.29 that hosts have.
HOSTS_PER_GROUP = 4
MAX_GROUPS = 64


class EndpointGroup(msgspec.Struct, frozen=True, order=True):
    """Some endpoints of a data centre.

    Parameters
    ----------
    data_centre : DataCentre
        The data centre.
    index, count : int
        Which of how many groups it is, from 0.
    """

    data_centre: DataCentre
    index: int = 0
    count: int = 1

    def holds(self, data_centre: DataCentre, endpoint: EndpointId) -> bool:
        """Tell whether an endpoint belongs to the group."""
        if data_centre != self.data_centre:
            return False
        return zlib.crc32(endpoint.encode()) % self.count == self.index

    def __str__(self) -> str:
        return f"{self.data_centre}/{self.index}"


def groups_of(data_centre: DataCentre, hosts: int) -> tuple[EndpointGroup, ...]:
    """Return the groups of a data centre with so many entry hosts."""
    count = min(MAX_GROUPS, max(1, round(hosts / HOSTS_PER_GROUP)))
    return tuple(EndpointGroup(data_centre, index, count) for index in range(count))
