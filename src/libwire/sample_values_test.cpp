#include "sample_values.h"

#include <string>

using namespace std::string_literals;

namespace plantainpitch::wire::test {

namespace {

const task_id task{ .job = "job-1", .index = 7 };
const request_id id{ .entry = 0xFFFF'FFFF'FFFF'FFF0, .number = 12 };
const std::string binary = "\0\xFF\x80 text\n"s;
const job_submitted job{ "job-1",
                         "strike-payout",
                         "fondo",
                         "team",
                         task_kind::watcher,
                         3,
                         { 1500, 1LL << 40, 2 },
                         priority::urgent,
                         1,
                         -2,
                         3,
                         4,
                         6,
                         "run" };

log_position position(std::uint64_t value)
{
    return { .value = value };
}

} // namespace

std::vector<log_record> sampleRecords()
{
    return { config_change{ config_kind::parameters, "a/b", position(5), "{}", true },
             job,
             job_cancelled{ "job-1" },
             task_claimed{ task, "vm-1", 77, "boot", position(1) },
             task_adopted{ task, position(2), "vm-1", 78, "boot" },
             task_released{ task, position(3), "cp", release_reason::cancelled },
             task_finished{ task, position(4), "done" },
             task_failed{ task, position(5), "why" },
             task_revoked{ task, position(6), "why" },
             key_claimed{ "acc", "key", 1, 2, 3, 4 },
             key_finished{ "acc", "key", 1, 2, 201, binary, false },
             key_released{ "acc", "key", 1, 2 },
             snapshot_part{ 9, 1, 3, 4, binary },
             read_marker{ 11 } };
}

std::vector<message> sampleMessages()
{
    const held_task held{ task, position(8) };
    const service_request request{ "acc", "tmpl", "POST", "/p?q=1", "text/plain", binary, held };
    const stored_batch stored{ 3, { 1, 2, sampleRecords() } };
    return {
        hello{ 2, process_kind::agent, "a", "dc", 5 },
        announce{
                "vm", "dc", "r", 1, "b", { 1, 2, 3 }, { 4, 5, 6 }, "t", 8, 64, true, position(9) },
        heartbeat{ { 1, 2, 3 }, 4, 5, true, 6, position(7) },
        config_update{ position(4), { { config_kind::parameters, "n", position(3), "{}", true } } },
        dispatch{ id, 2, -5, true, request },
        cancel{ id, 3 },
        answer{ id, 2, { 418, "text/html", binary }, 9, 10, 11, 12, 13 },
        refusal{ id, 2, refusal_reason::service_broken, 3, 4 },
        cancel_result{ id, 2, cancel_outcome::answered },
        task_proposal{ task, job, position(1), "cp", true, 99 },
        proposal_refused{ task, position(1), "no_room" },
        record_submit{ 5, sampleRecords()[5] },
        record_settled{ 5, position(6), true, "r" },
        authority_request{ 1, "vm", { held } },
        authority_grant{
                1, 2, { { task, position(3), withdrawal::cancelled } }, { { held, 4000 } } },
        drain_request{ "why" },
        peer_digest{ "n", 1, 2, true, true },
        peer_pull{ "config", 4 },
        peer_records{ "config", true, { stored } }
    };
}

} // namespace plantainpitch::wire::test
