import msgspec

from currantwell.endpoint_protocol import Announcement
from currantwell.metrics import HostLoad, NoLoad
from currantwell.presets import PEAK, FixedPreset
from currantwell.status import Change, HostState, SystemStatus
from currantwell.status_page import render_status

EVIL = "<script>x</script>"


class Source:
    """Fake source of endpoints, hosts and changes."""

    async def endpoints(self):
        return [Announcement("shed-1", "i", "u", "valdres", running=3, draining=True)]

    def hosts(self):
        return [HostState("valdres-2", "valdres", "unreachable", "backup")]

    def recent_changes(self, most):
        return [Change("06:00", EVIL, "preset ordinary -> peak", "dawn")]


async def test_the_page_shows_what_the_host_knows_and_no_markup_of_others():
    source = Source()
    system = SystemStatus(
        "valdres-1", "valdres", source, FixedPreset(PEAK), NoLoad(), source, source
    )
    status = await system.status()
    page = render_status(status)
    for text in ("peak", "shed-1", "3 of 8", "draining", "unreachable", "dawn"):
        assert text in page
    assert EVIL not in page
    assert "&lt;script&gt;" in page
    assert status.load == HostLoad()
    assert msgspec.json.decode(msgspec.json.encode(status))["preset"]["name"] == "peak"
