"""Request handler of the OpenAI-compatible model list."""

import msgspec

from scaleloom_core.records import Model
from scaleloom_core.target_pools import may_use_model
from scaleloom_fleet.http.asgi import Reply, Request, json_reply
from scaleloom_fleet.http.problems import problem_reply
from scaleloom_fleet.router.state import RouterState

MODEL_OWNER = "scaleloom"


class ModelItem(msgspec.Struct, frozen=True):
    """One model or adapter that the caller may use."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = MODEL_OWNER


class ModelList(msgspec.Struct, frozen=True):
    """Response with the models that the caller may use."""

    data: list[ModelItem]
    object: str = "list"


async def handle_models(state: RouterState, request: Request) -> Reply:
    """Handle `GET /v1/models`: list the models and adapters open to the caller."""
    authenticated = state.customers.authenticate(request.headers)
    customer = authenticated.value_or(None)
    if customer is None:
        return problem_reply(authenticated.failure())
    names = [
        name
        for model in state.config.fold.objects_of(Model)
        if may_use_model(model, customer.name)
        for name in _public_names(model)
    ]
    return json_reply(ModelList([ModelItem(name) for name in sorted(names)]))


def _public_names(model: Model) -> list[str]:
    """Return the names under which callers request `model` and its adapters."""
    return [model.name, *(f"{model.name}:{adapter}" for adapter in model.adapters)]
