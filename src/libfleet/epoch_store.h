#pragma once

#include "plantainpitch/sched/partition_store.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace plantainpitch::test {

/// A store that answers at once and keeps what a test gives it. It fences appends of earlier
/// epochs.
class epoch_store : public sched::partition_store
{
public:
    void join(std::uint64_t /*generation*/, std::function<void(sched::join_result)> done) override
    {
        ++joined;
        m_heldJoin = std::move(done);
        if (!holdJoins)
            releaseJoin();
    }
    void leave(std::function<void()> done) override
    {
        ++left;
        done();
    }
    void beginEpoch(std::function<void(sched::append_status, std::uint64_t)> done) override
    {
        ++epoch;
        done(sched::append_status::stored, epoch);
    }
    void append(std::uint64_t of, std::uint64_t number,
                const std::vector<sched::stored_record> &appended,
                std::function<void(sched::append_status)> done) override
    {
        if (silent || of < epoch) {
            done(silent ? sched::append_status::unknown : sched::append_status::fenced);
            return;
        }
        appends.emplace_back(number, appended);
        done(failures > 0 ? sched::append_status::unknown : sched::append_status::stored);
        failures -= failures > 0 ? 1 : 0;
    }
    void checkEpoch(std::uint64_t of, std::uint64_t /*number*/,
                    std::function<void(sched::epoch_status)> done) override
    {
        ++checked;
        if (silent)
            done(sched::epoch_status::unknown);
        else
            done(of < epoch ? sched::epoch_status::superseded : sched::epoch_status::current);
    }
    void load(std::function<void(bool, std::vector<sched::stored_record>)> done) override
    {
        if (holdLoads)
            m_heldLoad = std::move(done);
        else
            done(true, records);
    }
    void announce(const sched::member & /*self*/, std::function<void(bool)> done) override
    {
        done(true);
    }
    void followMembers(std::function<void(sched::member)> found,
                       std::function<void(const std::string &)> /*left*/) override
    {
        for (const sched::member &each : members)
            found(each);
    }
    void stopFollowing() override {}
    void forget(const std::string & /*address*/, std::function<void()> done) override { done(); }

    /// Another process begins an epoch, after which the store holds \a newRecords.
    void takeOver(std::vector<sched::stored_record> newRecords)
    {
        ++epoch;
        records = std::move(newRecords);
    }

    void releaseJoin()
    {
        if (const auto done = std::exchange(m_heldJoin, nullptr))
            done({ .answered = true, .generation = 1, .ownsPartition = ownsPartition });
    }

    /// Answers a load that was held with what was read before.
    void releaseLoad(const std::vector<sched::stored_record> &read)
    {
        if (const auto done = std::exchange(m_heldLoad, nullptr))
            done(true, read);
    }

    bool ownsPartition = true;
    bool holdJoins = false;
    bool holdLoads = false;
    std::size_t joined = 0; ///< calls of join()
    std::size_t left = 0; ///< calls of leave()
    std::uint64_t epoch = 0; ///< the latest
    std::vector<sched::stored_record> records;
    std::vector<sched::member> members;
    int failures = 0; ///< of the next appends
    std::vector<std::pair<std::uint64_t, std::vector<sched::stored_record>>> appends;
    bool silent = false; ///< answers no appends and no checks
    std::size_t checked = 0; ///< calls of checkEpoch()

private:
    std::function<void(sched::join_result)> m_heldJoin;
    std::function<void(bool, std::vector<sched::stored_record>)> m_heldLoad;
};

} // namespace plantainpitch::test
