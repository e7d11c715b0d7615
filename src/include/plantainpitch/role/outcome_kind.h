#pragma once

namespace plantainpitch {

/// What is known about a request when it ends.
enum class outcome_kind {
    answered, ///< the service's complete answer is included
    not_run, ///< has not run and never will
    unknown, ///< may have run
};

/// Name as it appears in the header X-Plantain-Outcome, e.g. "not-run".
const char *toString(outcome_kind kind);

} // namespace plantainpitch
