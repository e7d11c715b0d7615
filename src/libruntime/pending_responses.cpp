#include "plantainpitch/runtime/pending_responses.h"

namespace plantainpitch::runtime {

void pending_responses::add(std::uint64_t requestNumber, http_responder respond)
{
    const std::lock_guard lock(m_mutex);
    m_responders.emplace(requestNumber, std::move(respond));
}

bool pending_responses::remove(std::uint64_t requestNumber)
{
    return take(requestNumber) != nullptr;
}

void pending_responses::respond(std::uint64_t requestNumber, http_response response)
{
    if (const http_responder responder = take(requestNumber))
        responder(std::move(response));
}

http_responder pending_responses::take(std::uint64_t requestNumber)
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_responders.find(requestNumber);
    if (place == m_responders.end())
        return nullptr;
    http_responder responder = std::move(place->second);
    m_responders.erase(place);
    return responder;
}

} // namespace plantainpitch::runtime
