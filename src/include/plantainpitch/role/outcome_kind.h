#pragma once

namespace plantainpitch {

/// What the system can say about a request.
enum class outcome_kind {
    answered, ///< the service's whole answer follows
    not_run, ///< did not run and never will
    unknown, ///< may have run
};

/// Name as it appears in the header X-Plantain-Outcome, e.g. "not-run".
const char *toString(outcome_kind kind);

} // namespace plantainpitch
