#include "plantainpitch/log/record_size.h"

namespace plantainpitch::detail {

namespace {

std::size_t textBytes(const config_change &r)
{
    return r.name.size() + r.document.size();
}

std::size_t textBytes(const job_submitted &r)
{
    return r.job.size() + r.templateName.size() + r.account.size() + r.team.size()
           + r.command.size();
}

std::size_t textBytes(const job_cancelled &r)
{
    return r.job.size();
}

std::size_t textBytes(const task_claimed &r)
{
    return r.task.job.size() + r.vm.size() + r.workerBoot.size();
}

std::size_t textBytes(const task_adopted &r)
{
    return r.task.job.size() + r.vm.size() + r.workerBoot.size();
}

std::size_t textBytes(const task_released &r)
{
    return r.task.job.size() + r.checkpoint.size();
}

std::size_t textBytes(const task_finished &r)
{
    return r.task.job.size() + r.result.size();
}

std::size_t textBytes(const task_failed &r)
{
    return r.task.job.size() + r.reason.size();
}

std::size_t textBytes(const task_revoked &r)
{
    return r.task.job.size() + r.reason.size();
}

std::size_t textBytes(const key_claimed &r)
{
    return r.account.size() + r.key.size();
}

std::size_t textBytes(const key_finished &r)
{
    return r.account.size() + r.key.size() + r.body.size();
}

std::size_t textBytes(const key_released &r)
{
    return r.account.size() + r.key.size();
}

std::size_t textBytes(const snapshot_part &r)
{
    return r.data.size();
}

std::size_t textBytes(const read_marker &)
{
    return 0;
}

} // namespace

std::size_t approximateBytes(const log_record &record)
{
    return 64 + std::visit([](const auto &r) { return textBytes(r); }, record);
}

} // namespace plantainpitch::detail
