#pragma once

#include "event_queue.h"
#include "plantainpitch/log/append_answer.h"
#include "plantainpitch/log/append_call.h"
#include "plantainpitch/log/read_answer.h"
#include "plantainpitch/log/read_call.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace plantainpitch::matrix {

/// The platform's log with its faults.
class fake_log
{
public:
    fake_log(event_queue &queue, std::uint64_t seed)
        : m_queue(queue)
        , m_random(seed)
    {}

    void append(const append_call &call, std::function<void(append_answer)> done);
    void read(const std::string &reader, const read_call &call,
              std::function<void(read_answer)> done);

    bool down = false; ///< calls fail without effect
    duration delay = std::chrono::milliseconds(4);
    int loseAppendAnswers = 0; ///< these appends take effect, their answers are lost
    duration readLag{}; ///< reads do not show appends younger than this
    std::string laggingReader; ///< only this process reads with the lag; empty: all do
    std::size_t retainedBatches = 1'000'000;
    std::function<void(const record_batch &)> onStored;

private:
    struct stored
    {
        instant at;
        stored_batch batch;
    };
    struct stream
    {
        std::uint64_t first = 0;
        std::vector<stored> batches;
    };

    void store(const append_call &call, append_answer &answer);
    [[nodiscard]] read_answer load(const std::string &reader, const read_call &call);
    duration jitter();

    event_queue &m_queue;
    std::mt19937_64 m_random;
    std::map<std::string, stream> m_streams;
};

} // namespace plantainpitch::matrix
