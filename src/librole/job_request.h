#pragma once

#include "plantainpitch/log/config_state.h"
#include "plantainpitch/log/record/job_submitted.h"

#include <cstdint>
#include <string>

namespace plantainpitch::detail {

/// Builds the record of a job submission {"version":1,"account","template","id"}. \a generatedId
/// is used if the submission has no id. Throws error(invalid_document or not_found).
job_submitted makeJobRecord(const std::string &body, const config_state &config, std::int64_t nowMs,
                            const std::string &generatedId);

} // namespace plantainpitch::detail
