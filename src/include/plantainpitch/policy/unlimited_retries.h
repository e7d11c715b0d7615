#pragma once

#include "plantainpitch/policy/retry_budget.h"

namespace plantainpitch {

/// Baseline: allows every retry.
class unlimited_retries final : public retry_budget
{
public:
    void onRequest() override {}
    bool tryAcquire() override { return true; }
};

} // namespace plantainpitch
