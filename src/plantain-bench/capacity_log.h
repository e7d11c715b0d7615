#pragma once

#include "plantainpitch/log/append_answer.h"
#include "plantainpitch/log/append_call.h"
#include "plantainpitch/log/read_answer.h"
#include "plantainpitch/log/read_call.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plantainpitch {

/// The platform's log in memory, which answers at once and counts what it stores.
class capacity_log
{
public:
    append_answer append(const append_call &call);
    /// Appends records that none of the measured processes made.
    void appendForeign(const std::string &stream, std::vector<log_record> records);
    [[nodiscard]] read_answer read(const read_call &call) const;

    [[nodiscard]] std::uint64_t appends() const { return m_appends; }
    [[nodiscard]] std::uint64_t appendedBytes() const { return m_appendedBytes; }

private:
    std::map<std::string, std::vector<record_batch>> m_streams;
    std::uint64_t m_appends = 0;
    std::uint64_t m_appendedBytes = 0;
};

} // namespace plantainpitch
