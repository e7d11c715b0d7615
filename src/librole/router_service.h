#pragma once

#include "endpoint_table.h"
#include "plantainpitch/model/work_template.h"
#include "plantainpitch/policy/hedge_policy.h"
#include "plantainpitch/policy/retry_budget.h"
#include "plantainpitch/policy/routing_policy.h"

#include <memory>
#include <string>

namespace plantainpitch::detail {

/// State of one service in a router.
struct router_service
{
    std::shared_ptr<const work_template> definition; ///< null if not published or removed
    endpoint_table endpoints;
    std::unique_ptr<routing_policy> routing;
    std::unique_ptr<retry_budget> retries;
    std::unique_ptr<hedge_policy> hedging;
};

/// True if the request may be run more than once.
bool isIdempotent(const work_template &definition, const std::string &method,
                  const std::string &path);

} // namespace plantainpitch::detail
