#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace plantainpitch::standin {

/// What a read of a stream returns.
struct log_slice
{
    std::uint64_t earliest = 0; ///< first offset that is kept
    std::uint64_t next = 0; ///< offset of the next append
    std::vector<std::pair<std::uint64_t, std::string>> batches;
};

/// Append-only streams in memory with a bounded number of kept batches. Thread-safe.
class log_store
{
public:
    explicit log_store(std::size_t retentionBatches);

    void setRetention(std::size_t batches);
    std::uint64_t append(const std::string &stream, std::string batch);
    [[nodiscard]] log_slice read(const std::string &stream, std::uint64_t from, std::size_t max);

private:
    struct stream
    {
        std::uint64_t earliest = 0;
        std::deque<std::string> batches;
    };

    void trim(stream &trimmed) const;

    std::mutex m_mutex;
    std::size_t m_retentionBatches;
    std::map<std::string, stream> m_streams;
};

} // namespace plantainpitch::standin
