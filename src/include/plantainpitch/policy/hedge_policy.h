#pragma once

#include "plantainpitch/model/instant.h"

#include <optional>

namespace plantainpitch {

/// Decides when an idempotent request that has no answer yet is sent to a second endpoint.
class hedge_policy
{
public:
    hedge_policy() = default;
    hedge_policy(const hedge_policy &) = delete;
    hedge_policy &operator=(const hedge_policy &) = delete;
    virtual ~hedge_policy() = default;

    virtual void onRequest() = 0;
    /// Latency of an answered request of this service.
    virtual void onLatency(duration value) = 0;
    /// Time after the dispatch at which to hedge; std::nullopt if the request is not hedged.
    [[nodiscard]] virtual std::optional<duration> delay() const = 0;
    /// Takes one hedge from the budget; false if the budget is exhausted.
    virtual bool tryAcquire() = 0;
};

} // namespace plantainpitch
