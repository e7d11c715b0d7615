#pragma once

#include "plantainpitch/policy/hedge_policy.h"

namespace plantainpitch {

/// Baseline: one dispatch at a time.
class no_hedging final : public hedge_policy
{
public:
    void onRequest() override {}
    void onLatency(duration /*value*/) override {}
    [[nodiscard]] std::optional<duration> delay() const override { return std::nullopt; }
    bool tryTake() override { return false; }
};

} // namespace plantainpitch
