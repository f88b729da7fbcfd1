"""Whose cache a target copies a prompt part from."""

from scaleloom_core.ids import TargetId
from scaleloom_core.listed import ListedTarget
from scaleloom_core.placement_key import PlacementKey
from scaleloom_core.prefix_holders import PrefixHolders, part_key
from scaleloom_core.targets import TargetView


def find_cache_source(
    key: PlacementKey,
    chosen: TargetId,
    view: TargetView,
    holders: PrefixHolders,
    now_s: float,
) -> ListedTarget | None:
    """
    Return whose cache `chosen` should copy the shared part from, if any.

    It is the target that a router saw read the part last, or else the part's
    home, its home before the targets changed, or its next home: the one before
    another target joined, which a router that has just started cannot know. A
    copy costs a small part of what reading the prompt again does, and nothing if
    the source does not keep the part.
    """
    part = key.shared_part
    if part is None:
        return None
    homes = view.candidates(key.service, part, key.track)
    likely = [
        *filter(None, map(view.find_key, holders.latest(part_key(part), now_s))),
        *homes[:1],
        view.former_home(key.service, part, key.track),
        *homes[1:2],
    ]
    for target in likely:
        if target is None or target == chosen:
            continue
        record = view.find_source(target, now_s)
        if record is not None:
            return record.listed
    return None
