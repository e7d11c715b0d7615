#pragma once

namespace plantainpitch {

/// Limits the load that retries add.
class retry_budget
{
public:
    retry_budget() = default;
    retry_budget(const retry_budget &) = delete;
    retry_budget &operator=(const retry_budget &) = delete;
    virtual ~retry_budget() = default;

    virtual void onRequest() = 0;
    /// Takes one dispatch from the budget; false if the budget is exhausted.
    virtual bool tryAcquire() = 0;
};

} // namespace plantainpitch
