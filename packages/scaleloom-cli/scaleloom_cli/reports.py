"""Plain-text reports of the responses of the administration API."""

from scaleloom_core.planning import Plan, PlanStep

MEBIBYTE = 1 << 20


def describe_plan(plan: Plan) -> str:
    """Return the changes of `plan` for each target, and their cost."""
    lines = [f"Plan on version {plan.base_version}"]
    lines += [f"  put     {_describe_object(item)}" for item in plan.puts]
    lines += [f"  remove  {key}" for key in plan.removals]
    lines += [_describe_step(step) for step in plan.steps]
    lines += [f"  WARNING {warning}" for warning in plan.warnings]
    lines += [
        f"Weights to load: {plan.bytes_to_load / MEBIBYTE:.1f} MiB, "
        f"{plan.loading_s:.1f} s at the weight store's rate",
        f"Cached chats lost: {plan.cached_chats_lost}",
        f"Share of the present load moved: {plan.load_moved_share:.1%}",
        "Nothing has changed. Confirm with: scaleloom confirm PLAN",
    ]
    return "\n".join(lines)


def _describe_object(item: object) -> str:
    """Return the kind and the name of an object that the plan adds or replaces."""
    return f"{type(item).__name__.lower()} {item.name}"


def _describe_step(step: PlanStep) -> str:
    """Return the line of one step: a target, its action and the cost."""
    dependencies = f" after {', '.join(step.wait_for)}" if step.wait_for else ""
    return (
        f"  {step.target}: {step.action} {step.model}{dependencies} "
        f"({step.bytes_to_load / MEBIBYTE:.1f} MiB, "
        f"{step.cached_chats_lost} cached chats lost, "
        f"{step.load_moved} requests moved)"
    )


def describe_status(status: dict) -> str:
    """Return the status of the fleet as a table with a row for each target."""
    lines = [
        f"Version {status['version']} in force, log tail "
        f"{status['tail_version']} read {status['tail_age_s']:.1f} s ago",
        f"{'target':<16}{'open':<6}{'settled':<9}{'load':<6}{'cached':<8}serves",
    ]
    for item in status["targets"]:
        report = item["report"]
        serves = item["service"] or _describe_model(item)
        lines.append(
            f"{item['target']:<16}{_format_flag(item['is_open']):<6}"
            f"{_format_flag(item['is_settled']):<9}{report['load']:<6}"
            f"{report['cached_chats']:<8}{serves}"
        )
    return "\n".join(lines)


def describe_explanation(explanation: dict) -> str:
    """Return the candidate targets of a chat, best first, and the reason as text."""
    lines = [
        f"Chat {explanation['chat']} on version {explanation['version']}",
        f"{'candidate':<16}{'answers':<9}{'prefix':<8}{'load':<6}{'allowed':<9}sent to",
    ]
    for item in explanation["candidates"]:
        lines.append(
            f"{item['target']:<16}{_format_flag(item['is_reachable']):<9}"
            f"{_format_flag(item['has_prefix']):<8}{item['load']:<6}"
            f"{item['allowed_load']:<9}{item['sent_to'] or '-'}"
        )
    return "\n".join([*lines, explanation["reason"]])


def _describe_model(item: dict) -> str:
    """Return the model and version that a target serves, or "-" without a model."""
    if item["model"] is None:
        return "-"
    return f"{item['model']} v{item['model_version']}"


def _format_flag(flag: bool) -> str:
    """Return "yes" or "no"."""
    return "yes" if flag else "no"
