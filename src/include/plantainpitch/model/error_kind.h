#pragma once

namespace plantainpitch {

/// Kinds of errors that callers and operators can tell apart.
enum class error_kind {
    invalid_argument,
    invalid_document,
    not_found,
    revision_conflict,
    already_exists,
    quota_exceeded,
    log_unavailable,
    not_ready,
    protocol_error,
    too_large,
    timeout,
    internal_error,
};

/// Name of the kind as it appears in answers, logs and counters, e.g. "revision_conflict".
const char *toString(error_kind kind);

} // namespace plantainpitch
