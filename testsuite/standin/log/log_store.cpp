#include "log_store.h"

#include <algorithm>

namespace plantainpitch::standin {

namespace {

/// Bytes of one read; more would exceed the body limit of readers.
constexpr std::size_t maxReadBytes = 4 * 1024 * 1024;

} // namespace

log_store::log_store(std::size_t retentionBatches)
    : m_retentionBatches(retentionBatches)
{}

void log_store::setRetention(std::size_t batches)
{
    const std::lock_guard lock(m_mutex);
    m_retentionBatches = batches;
    for (auto &[name, trimmed] : m_streams)
        trim(trimmed);
}

std::uint64_t log_store::append(const std::string &name, std::string batch)
{
    const std::lock_guard lock(m_mutex);
    auto &appended = m_streams[name];
    const auto offset = appended.earliest + appended.batches.size();
    appended.batches.push_back(std::move(batch));
    trim(appended);
    return offset;
}

log_slice log_store::read(const std::string &name, std::uint64_t from, std::size_t max)
{
    const std::lock_guard lock(m_mutex);
    const auto &source = m_streams[name];
    log_slice slice{ .earliest = source.earliest, .next = source.earliest + source.batches.size() };
    std::size_t bytes = 0;
    for (auto offset = std::max(from, slice.earliest);
         offset < slice.next && slice.batches.size() < max && bytes < maxReadBytes; ++offset) {
        slice.batches.emplace_back(offset, source.batches[offset - slice.earliest]);
        bytes += slice.batches.back().second.size();
    }
    return slice;
}

void log_store::trim(stream &trimmed) const
{
    while (trimmed.batches.size() > m_retentionBatches) {
        trimmed.batches.pop_front();
        ++trimmed.earliest;
    }
}

} // namespace plantainpitch::standin
