#pragma once

#include "plantainpitch/log/log_record.h"
#include "plantainpitch/role/message.h"

#include <vector>

namespace plantainpitch::wire::test {

/// One value of each alternative, in declaration order, with no field left at its default
/// value, so that a lost field shows.
std::vector<log_record> sampleRecords();
std::vector<message> sampleMessages();

} // namespace plantainpitch::wire::test
