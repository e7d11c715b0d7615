#pragma once

#include "plantainpitch/role/action/write_log.h"

#include <string>

namespace plantainpitch::runtime {

/// "level=info event=... key=value ..." on one line; values with spaces, quotes, equals signs or
/// control characters are quoted and escaped.
std::string formatLogLine(const write_log &line);

} // namespace plantainpitch::runtime
