#include "router_state.h"

#include "plantainpitch/policy/percentile_hedging.h"
#include "plantainpitch/policy/token_bucket.h"
#include "plantainpitch/policy/two_choice_routing.h"

#include <utility>

namespace plantainpitch {

request_router::state::state(request_router_options value, std::uint64_t seedValue)
    : options(std::move(value))
    , seed(seedValue)
    , nextRequestNumber(options.firstRequestNumber)
    , keys(options.entry, options.firstRequestNumber, options.requestNumberStep)
{}

detail::router_service &request_router::state::findOrCreateService(const std::string &templateName)
{
    auto &service = services[templateName];
    if (!service) {
        service = std::make_unique<router_service>();
        // Each service has its own random generator, so that the load of one service does not
        // change the routing choices of another.
        const std::uint64_t serviceSeed = seed + services.size();
        service->routing = options.makeRoutingPolicy
                                   ? options.makeRoutingPolicy(serviceSeed)
                                   : std::make_unique<two_choice_routing>(serviceSeed);
        service->retries = options.makeRetryBudget
                                   ? options.makeRetryBudget()
                                   : std::make_unique<token_bucket>(options.retryBudgetRatio);
        service->hedging = options.makeHedgePolicy ? options.makeHedgePolicy()
                                                   : std::make_unique<percentile_hedging>();
    }
    return *service;
}

void request_router::state::send(connection_id to, message content)
{
    actions.emplace_back(send_message{ .connection = to, .content = std::move(content) });
}

void request_router::state::count(std::string name, std::string_view label)
{
    actions.emplace_back(count_metric{ .name = std::move(name), .label = std::string(label) });
}

detail::pending_request *request_router::state::find(std::uint64_t number)
{
    const auto found = pending.find(number);
    return found == pending.end() ? nullptr : &found->second;
}

} // namespace plantainpitch
