#pragma once

#include "plantainpitch/policy/retry_budget.h"

#include <algorithm>

namespace plantainpitch {

/// Retry budget in which each request adds a fraction of a token and each retry takes one token.
class token_bucket final : public retry_budget
{
public:
    /// \a ratio: retries per request in the long run. \a capacity: retries in a burst, and at the
    /// start, so that a service with few requests can retry as well.
    explicit token_bucket(double ratio, double capacity = 10)
        : m_ratio(ratio)
        , m_capacity(capacity)
        , m_tokens(capacity)
    {}

    void onRequest() override { m_tokens = std::min(m_capacity, m_tokens + m_ratio); }
    bool tryAcquire() override
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_ratio;
    double m_capacity;
    double m_tokens;
};

} // namespace plantainpitch
