#include "plantainpitch/runtime/log_service_client.h"

#include "plantainpitch/model/error.h"
#include "plantainpitch/wire/batch_codec.h"

#include "plantainpitch/runtime/base64.h"

#include <boost/json.hpp>

#include <algorithm>
#include <mutex>

namespace plantainpitch::runtime {

namespace json = boost::json;

namespace {

bool isSuccess(const http_result &result)
{
    return result.kind == http_result_kind::answered && result.response.status / 100 == 2;
}

bool parseAppend(const std::string &body, std::uint64_t &offset)
{
    try {
        offset = json::parse(body).at("offset").to_number<std::uint64_t>();
        return true;
    } catch (const std::exception &) {
        return false; // not the JSON of section 9 of the design page
    }
}

} // namespace

struct log_service_client::state
{
    http_send send;
    metrics &counters;
    std::chrono::milliseconds timeout;
    std::mutex mutex; // guards batchLimits
    std::map<std::string, std::uint32_t> batchLimits;
};

log_service_client::log_service_client(http_send send, metrics &counters,
                                       std::chrono::milliseconds timeout)
    : m_state(new state{ .send = std::move(send), .counters = counters, .timeout = timeout })
{}

log_service_client::~log_service_client() = default;

void log_service_client::append(const append_call &call, std::function<void(append_answer)> done)
{
    append_answer answer{ .callId = call.callId, .stream = call.stream };
    http_request request{ .method = "POST",
                          .target = "/v1/streams/" + call.stream + "/append",
                          .headers = { { "Content-Type", "application/octet-stream" } },
                          .body = {} };
    try {
        request.body = wire::encodeBatch(call.batch);
    } catch (const error &failure) {
        m_state->counters.count({ "log_call_failures_total", toString(failure.kind()) });
        done(answer);
        return;
    }
    m_state->send(std::move(request), m_state->timeout,
                  [this, answer, done = std::move(done)](const http_result &result) mutable {
                      answer.ok =
                              isSuccess(result) && parseAppend(result.response.body, answer.offset);
                      if (!answer.ok)
                          m_state->counters.count({ "log_call_failures_total", "append" });
                      done(answer);
                  });
}

void log_service_client::read(const read_call &call, std::function<void(read_answer)> done)
{
    const std::uint32_t limit = batchLimit(call);
    http_request request{ .method = "GET",
                          .target = "/v1/streams/" + call.stream
                                    + "/records?from=" + std::to_string(call.fromOffset)
                                    + "&max=" + std::to_string(limit) };
    read_answer answer{ .callId = call.callId, .stream = call.stream };
    m_state->send(std::move(request), m_state->timeout,
                  [this, limit, answer, done = std::move(done)](const http_result &result) mutable {
                      answer.ok = isSuccess(result) && parseRead(result.response.body, answer);
                      const bool refused = result.kind == http_result_kind::connect_failed;
                      if (!refused)
                          adaptBatchLimit(answer.stream, limit, answer.ok);
                      if (!answer.ok) {
                          answer.batches.clear();
                          m_state->counters.count({ "log_call_failures_total", "read" });
                      }
                      done(std::move(answer));
                  });
}

std::uint32_t log_service_client::batchLimit(const read_call &call)
{
    const std::lock_guard lock(m_state->mutex);
    const auto place = m_state->batchLimits.find(call.stream);
    return place == m_state->batchLimits.end() ? call.maxBatches
                                               : std::min(place->second, call.maxBatches);
}

void log_service_client::adaptBatchLimit(const std::string &stream, std::uint32_t asked, bool ok)
{
    // An answer that is too large or too slow would fail in the same way for ever.
    constexpr std::uint32_t largest = 1U << 20U;
    const std::lock_guard lock(m_state->mutex);
    m_state->batchLimits[stream] =
            ok ? std::min(asked, largest) * 2 : std::max<std::uint32_t>(asked / 2, 1);
}

bool log_service_client::parseRead(const std::string &body, read_answer &answer)
{
    try {
        const json::value parsed = json::parse(body);
        const json::object &object = parsed.as_object();
        answer.earliest = object.at("earliest").to_number<std::uint64_t>();
        answer.next = object.at("next").to_number<std::uint64_t>();
        for (const json::value &record : object.at("records").as_array()) {
            stored_batch stored{ .offset = record.at("offset").to_number<std::uint64_t>() };
            const json::string &data = record.at("data").as_string();
            try {
                if (const auto blob = decodeBase64({ data.data(), data.size() }))
                    stored.batch = wire::decodeBatch(*blob);
                else
                    m_state->counters.count({ "log_foreign_batches_total", "base64" });
            } catch (const error &) {
                m_state->counters.count({ "log_foreign_batches_total", "format" });
            }
            answer.batches.push_back(std::move(stored));
        }
    } catch (const std::exception &) {
        return false; // not the JSON of section 9 of the design page
    }
    return true;
}

} // namespace plantainpitch::runtime
