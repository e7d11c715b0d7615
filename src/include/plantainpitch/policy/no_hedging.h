#pragma once

#include "plantainpitch/policy/hedge_policy.h"

namespace plantainpitch {

/// Baseline: never hedges.
class no_hedging final : public hedge_policy
{
public:
    void onRequest() override {}
    void onLatency(duration /*value*/) override {}
    [[nodiscard]] std::optional<duration> delay() const override { return std::nullopt; }
    bool tryAcquire() override { return false; }
};

} // namespace plantainpitch
