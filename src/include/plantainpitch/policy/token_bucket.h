#pragma once

#include "plantainpitch/policy/retry_budget.h"

#include <algorithm>

namespace plantainpitch {

/// Each request adds a share of a token, each retry takes a whole one.
class token_bucket final : public retry_budget
{
public:
    /// \a ratio: retries per request in the long run. \a capacity: retries in a burst, and at the
    /// start, so that a quiet service can retry as well.
    explicit token_bucket(double ratio, double capacity = 10)
        : m_ratio(ratio)
        , m_capacity(capacity)
        , m_tokens(capacity)
    {}

    void onRequest() override { m_tokens = std::min(m_capacity, m_tokens + m_ratio); }
    bool tryTake() override
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
