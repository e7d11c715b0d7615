#pragma once

#include "plantainpitch/policy/retry_budget.h"

namespace plantainpitch {

/// Baseline: every retry is made.
class unlimited_retries final : public retry_budget
{
public:
    void onRequest() override {}
    bool tryTake() override { return true; }
};

} // namespace plantainpitch
