#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace plantainpitch::load {

/// Outcome of one request as its caller sees it.
struct outcome
{
    std::string kind; ///< answered, not-run, unknown
    std::string reason; ///< answered: the HTTP status
    std::chrono::microseconds latency{ 0 }; ///< from the planned time of the request
    bool wrongAnswer = false;
};

/// Counts and latencies of a run. Thread-safe.
class load_report
{
public:
    void add(const outcome &finished);
    /// Requests added so far.
    std::uint64_t count();
    /// Wrong answers added so far.
    std::uint64_t wrongAnswers();

    boost::json::object toJson();
    std::string toText();

private:
    [[nodiscard]] std::int64_t percentileUs(double fraction) const;
    void sortLatencies();

    std::mutex m_mutex;
    std::uint64_t m_count = 0;
    std::uint64_t m_wrongAnswers = 0;
    std::map<std::string, std::map<std::string, std::uint64_t>> m_reasons; ///< by kind
    std::vector<std::int64_t> m_latenciesUs; ///< of answered requests
};

} // namespace plantainpitch::load
