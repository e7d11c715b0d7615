#include "plantainpitch/runtime/log_service_client.h"

#include "plantainpitch/wire/batch_codec.h"

#include "plantainpitch/runtime/base64.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using namespace plantainpitch::runtime;

namespace {

std::string base64(const std::string &bytes)
{
    namespace coder = boost::beast::detail::base64;
    std::string text(coder::encoded_size(bytes.size()), '\0');
    text.resize(coder::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

/// Client with a fake log service that gives one result and keeps the request.
struct fixture
{
    http_result result;
    http_request sent;
    metrics counters;
    log_service_client client{ [this](http_request request, std::chrono::milliseconds,
                                      const std::function<void(http_result)> &done) {
                                  sent = std::move(request);
                                  done(result);
                              },
                               counters, std::chrono::milliseconds(100) };

    void answerWith(unsigned status, const std::string &body)
    {
        result = { .kind = http_result_kind::answered,
                   .response = { .status = status, .body = body } };
    }

    read_answer read(std::uint32_t maxBatches = 1000)
    {
        read_answer answer;
        client.read({ .callId = 1, .stream = "s", .fromOffset = 4, .maxBatches = maxBatches },
                    [&answer](read_answer a) { answer = std::move(a); });
        return answer;
    }

    append_answer append()
    {
        append_answer answer;
        client.append({ .callId = 2, .stream = "s", .batch = batch },
                      [&answer](append_answer a) { answer = std::move(a); });
        return answer;
    }

    record_batch batch{ .producer = 1, .sequence = 2, .records = { job_cancelled{ "j" } } };
};

} // namespace

// Guards against an append that is taken for done without the log's word.
BOOST_AUTO_TEST_CASE(appendIsOkOnlyWithAnOffset)
{
    fixture log;
    log.answerWith(200, R"({"offset":41})");
    const append_answer answer = log.append();
    BOOST_TEST((answer == append_answer{ .callId = 2, .stream = "s", .ok = true, .offset = 41 }));
    BOOST_TEST(log.sent.target == "/v1/streams/s/append");
    BOOST_TEST((wire::decodeBatch(log.sent.body) == log.batch));

    for (const char *body : { "", "{}", "[]", R"({"offset":"x"})", R"({"offset":-1})" }) {
        log.answerWith(200, body);
        BOOST_TEST(!log.append().ok, body);
    }
    log.answerWith(500, R"({"offset":41})");
    BOOST_TEST(!log.append().ok);
    log.result = { .kind = http_result_kind::timeout };
    BOOST_TEST(!log.append().ok);
}

// Guards against a foreign blob that stops every reader of the stream.
BOOST_AUTO_TEST_CASE(foreignBlobsReadAsEmptyBatches)
{
    fixture log;
    log.answerWith(200, R"({"earliest":1,"next":7,"records":[{"offset":4,"data":")"
                                + base64(wire::encodeBatch(log.batch))
                                + R"("},{"offset":5,"data":"!"},{"offset":6,"data":"eA=="}]})");
    const read_answer answer = log.read();
    BOOST_TEST(log.sent.target == "/v1/streams/s/records?from=4&max=1000");
    BOOST_TEST(answer.ok);
    BOOST_TEST(answer.earliest == 1U);
    BOOST_TEST(answer.next == 7U);
    const std::vector<stored_batch> expected{ { 4, log.batch }, { 5, {} }, { 6, {} } };
    BOOST_TEST((answer.batches == expected));
}

// Guards against a reader that asks for ever for more than the log can answer in time.
BOOST_AUTO_TEST_CASE(failedReadsAskForLess)
{
    fixture log;
    log.result = { .kind = http_result_kind::broken };
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(!log.read().ok);
    BOOST_TEST(log.sent.target == "/v1/streams/s/records?from=4&max=1");
    log.answerWith(200, R"({"earliest":0,"next":0,"records":[]})");
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(log.read().ok);
    BOOST_TEST(log.sent.target == "/v1/streams/s/records?from=4&max=1000");
}

// Guards against bytes that change between the log and the fold.
BOOST_AUTO_TEST_CASE(base64OfEveryLengthIsDecoded)
{
    std::string bytes;
    for (int i = 0; i < 256; ++i) {
        BOOST_TEST((decodeBase64(base64(bytes)) == bytes), i);
        bytes += static_cast<char>(i);
    }
    for (const char *text : { "a", "ab", "a===", "====", "a=bc", "ab c", "\xff\xff\xff\xff" })
        BOOST_TEST(!decodeBase64(text), text);
}
