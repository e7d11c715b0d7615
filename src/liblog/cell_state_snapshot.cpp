#include "plantainpitch/log/cell_state.h"

#include "snapshot_fields.h"
#include "task_fields.h"

#include "plantainpitch/log/snapshot_digest.h"

namespace plantainpitch {

using detail::byte_reader;
using detail::byte_writer;

namespace {

void write(byte_writer &out, const key_table::stored_key &key)
{
    out.number(key.state.entry);
    out.number(key.state.request);
    out.number(key.state.digest);
    out.signedNumber(key.state.claimedMs);
    out.flag(key.state.finished);
    out.number(key.state.status);
    out.text(key.state.body);
    out.flag(key.state.bodyStored);
    out.signedNumber(key.keptFromMs);
}

key_table::stored_key readKey(byte_reader &in)
{
    key_table::stored_key key;
    key.state.entry = in.number();
    key.state.request = in.number();
    key.state.digest = in.number();
    key.state.claimedMs = in.signedNumber();
    key.state.finished = in.flag();
    key.state.status = in.number32();
    key.state.body = in.text();
    key.state.bodyStored = in.flag();
    key.keptFromMs = in.signedNumber();
    return key;
}

void write(byte_writer &out, const key_table &keys)
{
    out.number(keys.claimTimes().size());
    for (const auto *entry : detail::sorted(keys.claimTimes())) {
        out.number(entry->first);
        out.signedNumber(entry->second);
    }
    out.number(keys.keys().size());
    for (const auto *entry : detail::sorted(keys.keys())) {
        out.text(entry->first);
        write(out, entry->second);
    }
}

void read(byte_reader &in, key_table &table)
{
    std::unordered_map<std::uint64_t, std::int64_t> claimTimes;
    std::uint64_t lastProducer = 0;
    for (std::size_t left = in.count(); left > 0; --left) {
        const std::uint64_t producer = in.number();
        const std::int64_t claimedMs = in.signedNumber();
        in.check(key_table::isValidTime(claimedMs), "claim time is out of range");
        detail::insertNext(in, claimTimes, producer, claimedMs, lastProducer);
    }
    std::unordered_map<std::string, key_table::stored_key> keys;
    std::string lastName;
    for (std::size_t left = in.count(); left > 0; --left) {
        std::string name = in.text();
        key_table::stored_key key = readKey(in);
        in.check(key_table::isValidTime(key.state.claimedMs), "claim time is out of range");
        detail::insertNext(in, keys, std::move(name), std::move(key), lastName);
    }
    table.restore(std::move(keys), std::move(claimTimes));
}

} // namespace

std::uint64_t cell_state::digest() const
{
    return snapshotDigest(saveSnapshot());
}

std::string cell_state::saveSnapshot() const
{
    byte_writer out;
    detail::writeHead(out, m_nextOffset);
    detail::write(out, m_producers);
    write(out, m_keys);
    out.number(m_jobs.size());
    for (const auto *entry : detail::sorted(m_jobs))
        detail::write(out, entry->second);
    return out.take();
}

void cell_state::loadSnapshot(const std::string &data, std::uint64_t through)
{
    byte_reader in(data);
    cell_state loaded;
    loaded.m_nextOffset = detail::readHead(in, through);
    detail::read(in, loaded.m_producers, loaded.m_nextOffset);
    read(in, loaded.m_keys);
    std::string last;
    for (std::size_t left = in.count(); left > 0; --left) {
        job_state job = detail::readJob(in);
        std::string name = job.description.job;
        detail::insertNext(in, loaded.m_jobs, std::move(name), std::move(job), last);
    }
    in.finish();
    loaded.rebuildIndexes();
    *this = std::move(loaded);
}

void cell_state::rebuildIndexes()
{
    for (const auto *entry : detail::sorted(m_jobs)) {
        const std::vector<task_state> &tasks = entry->second.tasks;
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
            const task_id id{ .job = entry->first, .index = i };
            if (isHeld(tasks[i].phase))
                addHeld(tasks[i].vm, { .job = &entry->second, .index = i });
            if (isUnplaced(tasks[i].phase))
                m_unplaced.insert(m_unplaced.end(), id);
        }
    }
}

} // namespace plantainpitch
