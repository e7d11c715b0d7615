#include "entry_router_shard.h"

#include "admin_json.h"
#include "admin_target.h"
#include "entry_control.h"
#include "plantainpitch/model/error.h"

namespace plantainpitch::detail {

namespace {

request_router_options routerOptions(const entry_role_options &options, std::size_t index)
{
    request_router_options result;
    result.entry = options.incarnation;
    result.dataCentre = options.dataCentre;
    result.firstRequestNumber = index + 1;
    result.requestNumberStep = options.routerShards;
    return result;
}

} // namespace

entry_router_shard::entry_router_shard(std::shared_ptr<entry_shared> shared, std::size_t index,
                                       std::uint64_t seed)
    : m_shared(std::move(shared))
    , m_index(index)
    , m_router(routerOptions(m_shared->options, index), seed)
{}

action_list entry_router_shard::handle(instant now, const entry_event &event)
{
    m_now = now;
    if (const auto *request = std::get_if<caller_request>(&event))
        onRequest(*request);
    else if (const auto *disconnected = std::get_if<caller_gone>(&event))
        m_router.onCallerDisconnected(now, disconnected->callerId);
    else if (const auto *received = std::get_if<message_received>(&event))
        m_router.onMessage(now, received->connection, received->content);
    else if (const auto *admin = std::get_if<admin_request>(&event))
        onAdmin(*admin);
    else if (std::holds_alternative<timer_tick>(event))
        m_router.tick(now);
    return takeActions();
}

action_list entry_router_shard::handleInbox(instant now)
{
    m_now = now;
    for (const auto &item : m_shared->routerInboxes[m_index]->take())
        item(*this);
    return takeActions();
}

void entry_router_shard::onRequest(const caller_request &request)
{
    if (m_shared->configLoaded) {
        m_router.onRequest(m_now, request);
        return;
    }
    emit(answer_caller{ .callerId = request.callerId,
                        .outcome = outcome_kind::not_run,
                        .status = 503,
                        .reason = "entry_not_ready",
                        .remedy = "send the request again; the entry is reading its state",
                        .requestId = {},
                        .content = {} });
    emit(count_metric{ "refusals_total", "entry_not_ready" });
}

void entry_router_shard::onAdmin(const admin_request &request)
{
    try {
        const admin_target target = parseAdminTarget(request.target);
        if (target.segments.size() != 4)
            throw error(error_kind::not_found, "the path contains no service name",
                        "use /v1/explain/service/NAME");
        emit(answer_admin{ request.adminId, 200, m_router.explainService(target.segments[3]) });
    } catch (const error &problem) {
        emit(makeAdminError(request.adminId, problem));
    }
}

void entry_router_shard::forwardSubmission(submit_record submission)
{
    m_shared->controlInbox.post(
            [index = m_index, submission = std::move(submission)](entry_control &control) {
                control.onRouterSubmission(index, submission);
            });
}

action_list entry_router_shard::takeActions()
{
    for (action &item : m_router.takeActions()) {
        if (auto *submission = std::get_if<submit_record>(&item))
            forwardSubmission(std::move(*submission));
        else
            m_actions.push_back(std::move(item));
    }
    const std::size_t inFlight = m_router.inFlight();
    m_shared->requestsInFlight += inFlight - m_reportedInFlight;
    m_reportedInFlight = inFlight;
    return std::exchange(m_actions, {});
}

} // namespace plantainpitch::detail
