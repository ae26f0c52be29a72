"""Groups of endpoints, each served by one dispatcher.

A data centre that needs more starts than one process can handle is divided into several
groups. Their number is fixed when the first dispatchers of the data centre are chosen,
since an epoch is only meaningful within a group whose members never change.
"""

import zlib

import msgspec

from ..ids import DataCentre, EndpointId

__all__ = ["EndpointGroup", "groups_of"]

# Every host processes the capacity reports of each dispatcher. With three hosts per
# group the busiest host used 0.26 of a core, out of the 0.39 to 1.29 that hosts have.
HOSTS_PER_GROUP = 4
MAX_GROUPS = 64


class EndpointGroup(msgspec.Struct, frozen=True, order=True):
    """A subset of the endpoints of a data centre.

    Parameters
    ----------
    data_centre : DataCentre
        The data centre.
    index : int
        Index of the group in its data centre, from 0.
    count : int
        Number of groups in the data centre.
    """

    data_centre: DataCentre
    index: int = 0
    count: int = 1

    def contains(self, data_centre: DataCentre, endpoint: EndpointId) -> bool:
        """Return whether an endpoint belongs to the group, by a hash of its id."""
        if data_centre != self.data_centre:
            return False
        return zlib.crc32(endpoint.encode()) % self.count == self.index

    def __str__(self) -> str:
        return f"{self.data_centre}/{self.index}"


def groups_of(data_centre: DataCentre, hosts: int) -> tuple[EndpointGroup, ...]:
    """Return the groups of a data centre that has ``hosts`` entry hosts."""
    count = min(MAX_GROUPS, max(1, round(hosts / HOSTS_PER_GROUP)))
    return tuple(EndpointGroup(data_centre, index, count) for index in range(count))
