#pragma once

#include "byte_reader.h"
#include "byte_writer.h"

#include "plantainpitch/log/job_state.h"

namespace plantainpitch::detail {

void write(byte_writer &out, const job_state &job);
job_state readJob(byte_reader &in);

} // namespace plantainpitch::detail
