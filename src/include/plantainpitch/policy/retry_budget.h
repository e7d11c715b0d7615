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
    /// True if one more dispatch may be made; counts it.
    virtual bool tryTake() = 0;
};

} // namespace plantainpitch
