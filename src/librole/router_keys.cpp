#include "router_state.h"

namespace plantainpitch {

void request_router::state::onClaimOutcome(instant now, const detail::key_tracker::claim &claim,
                                           const record_outcome &outcome,
                                           const std::optional<key_state> &holder)
{
    const bool isOurs = holder && holder->entry == options.entry && holder->request == claim.number;
    const bool accepted = outcome.appended && (outcome.result.accepted || isOurs);
    auto *request = find(claim.number);
    if (!request) {
        // The caller was answered "not run" while the claim was pending.
        if (accepted)
            keys.submitReleased(claim.number, claim.account, claim.key, actions);
        return;
    }
    request->claimingKey = false;
    if (accepted) {
        request->holdsKey = true;
        dispatchFirst(now, *request);
    } else if (!outcome.appended) {
        finishNotRun(now, claim.number, "log_unavailable");
    } else {
        onKeyHeld(now, claim, holder);
    }
}

void request_router::state::onKeyHeld(instant now, const detail::key_tracker::claim &claim,
                                      const std::optional<key_state> &holder)
{
    if (!holder) {
        finishNotRun(now, claim.number, "key_contended");
    } else if (holder->digest != claim.digest) {
        finishNotRun(now, claim.number, "key_digest_mismatch");
    } else if (!holder->finished) {
        finishUnknown(now, claim.number, "key_held");
    } else if (!holder->bodyStored) {
        finishUnknown(now, claim.number, "answer_not_stored");
    } else {
        count("stored_answers_total", {});
        finishAnswered(now, claim.number,
                       { .status = holder->status, .contentType = {}, .body = holder->body });
    }
}

} // namespace plantainpitch
