#pragma once

#include "plantainpitch/sched/messages.h"
#include "plantainpitch/sched/stored_record.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace plantainpitch::sched {

enum class append_status : std::uint8_t {
    stored,
    fenced, ///< a later owner has written; nothing was stored
    unknown, ///< no answer, or nothing was done for now; the same append may be sent again
};

enum class epoch_status : std::uint8_t {
    current, ///< no later epoch had begun when the store carried out the call
    superseded, ///< a later owner has begun its epoch
    unknown, ///< no answer, or one that tells neither
};

struct join_result
{
    bool answered = false;
    std::uint64_t generation = 0; ///< rises with each change of the group
    bool ownsPartition = false;
};

/// The platform's store, as the owner of a partition uses it. Every call answers once, on the
/// thread of the process's loop.
class partition_store
{
public:
    virtual ~partition_store() = default;

    /// Joins the group of candidates or stays in it; \a generation is the last one received.
    virtual void join(std::uint64_t generation, std::function<void(join_result)> done) = 0;
    /// Leaves the group, so that another member gets the partition at once.
    virtual void leave(std::function<void()> done) = 0;
    /// Begins an epoch that is higher than all before; batches of those are refused from now on.
    /// The order of epochs is guaranteed only if each owner stores a batch at the start of its
    /// epoch.
    virtual void beginEpoch(std::function<void(append_status, std::uint64_t epoch)> done) = 0;
    /// Stores the records as a whole; they must keep within the store's limits. \a number counts
    /// the appends of an epoch from 1; one that is sent again under its number is stored once.
    virtual void append(std::uint64_t epoch, std::uint64_t number,
                        const std::vector<stored_record> &records,
                        std::function<void(append_status)> done) = 0;
    /// Asks whether a later epoch has begun; stores nothing. \a number is that of the last append
    /// that was stored, 0 if there is none.
    ///
    /// Membership in the group does not tell: a process may lose the partition and get it back
    /// between two joins, and one that has lost it may still begin an epoch.
    virtual void checkEpoch(std::uint64_t epoch, std::uint64_t number,
                            std::function<void(epoch_status)> done) = 0;
    /// Reads the newest value of every key; \a answered is false if the store does not answer.
    virtual void
    load(std::function<void(bool answered, std::vector<stored_record> records)> done) = 0;
    /// Announces this process to the owner of the partition.
    virtual void announce(const member &self, std::function<void(bool answered)> done) = 0;
    /// Follows the announcements, from the oldest kept, until stopFollowing(). \a left is called
    /// with the address of each member whose announcement is removed.
    virtual void followMembers(std::function<void(member)> found,
                               std::function<void(const std::string &address)> left) = 0;
    virtual void stopFollowing() = 0;
    /// Removes the announcement of a process that is gone, or that is about to end and has closed
    /// its endpoint. No earlier owner can reach it then.
    virtual void forget(const std::string &address, std::function<void()> done) = 0;
};

} // namespace plantainpitch::sched
