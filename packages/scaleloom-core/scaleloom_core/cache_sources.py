"""The choice of the target whose cache a prompt part is copied from."""

from scaleloom_core.ids import TargetId
from scaleloom_core.placement_key import PlacementKey
from scaleloom_core.prefix_holders import PrefixHolders, part_key
from scaleloom_core.stream_origins import StreamBound
from scaleloom_core.target_entries import ListedTarget
from scaleloom_core.targets import TargetView


def find_cache_source(
    key: PlacementKey,
    chosen: TargetId,
    view: TargetView,
    holders: PrefixHolders,
    now_s: float,
    bound: StreamBound | None = None,
) -> ListedTarget | None:
    """
    Return the target from which `chosen` should copy the shared part, if any.

    Sources are tried in this order: the targets known to hold the part, the last used
    first; the part's home; its home before the set of targets changed; and its next
    home, which was the home before another target joined, a change that a router that
    has just started cannot know. A copy costs a small part of what processing the
    prompt again does, and nothing if the source does not hold the part. A stream that
    has begun copies from targets that it may go on at only.
    """
    part = key.shared_part
    if part is None:
        return None
    homes = view.candidates(key.service, part, key.track)
    sources = [
        *filter(None, map(view.find_by_key, holders.holders_of(part_key(part), now_s))),
        *homes[:1],
        view.former_home(key.service, part, key.track),
        *homes[1:2],
    ]
    for target in sources:
        if target is None or target == chosen:
            continue
        record = view.find_source(target, now_s)
        if record is None:
            continue
        if bound is None or bound.allows(record.listed):
            return record.listed
    return None
