#pragma once

namespace plantainpitch::ctl {

/// Exit codes of plantainctl; scripts rely on them.
enum class exit_code {
    done = 0,
    refused = 1, ///< the server or the local check refused, for example an invalid document
    usage = 2, ///< the command line is wrong
    revision_conflict = 3, ///< another operator changed the entity in between
    unreachable = 4, ///< no connection: nothing was changed
    no_answer = 5, ///< the call may have taken effect
    differences = 6, ///< diff: the file differs from what is in force
};

} // namespace plantainpitch::ctl
