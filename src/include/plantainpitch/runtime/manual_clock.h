#pragma once

#include "plantainpitch/runtime/clock.h"

#include <atomic>

namespace plantainpitch::runtime {

/// Clock for tests; stands still until it is advanced.
class manual_clock : public clock
{
public:
    [[nodiscard]] instant now() const override { return instant(duration(m_us.load())); }
    [[nodiscard]] std::int64_t wallMs() const override { return m_us.load() / 1000; }

    void advance(duration step) { m_us += step.count(); }

private:
    std::atomic<std::int64_t> m_us{ 1'000'000'000 };
};

} // namespace plantainpitch::runtime
