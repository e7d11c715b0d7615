#include "plantainpitch/model/documents.h"
#include "plantainpitch/model/error.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;

namespace {

std::string faultOf(const std::string &fields)
{
    try {
        parseTemplate(R"({"version":1,"name":"t","kind":"batch")" + fields + "}");
    } catch (const error &e) {
        BOOST_TEST((e.kind() == error_kind::invalid_document));
        BOOST_TEST(!e.remedy().empty());
        return e.problem();
    }
    return "";
}

bool faultStartsWith(const std::string &fields, const std::string &path)
{
    const std::string fault = faultOf(fields);
    BOOST_TEST_MESSAGE(fault);
    return fault.starts_with(path + ' ');
}

} // namespace

// Guards against fields that are written, but not read back, or the other way round.
BOOST_AUTO_TEST_CASE(documentsSurviveARoundTrip)
{
    work_template value{ .name = "strike-payout", .kind = task_kind::watcher, .team = "payments" };
    value.taskResources = { .processorsMilli = 1500, .memoryBytes = 1 << 30, .accelerators = 1 };
    value.taskPriority = priority::urgent;
    value.latencyTargetMs = 10;
    value.requestTimeoutMs = 11;
    value.slots = 12;
    value.connections = 13;
    value.queueLimit = 14;
    value.idempotentPaths = { { .method = "PUT", .prefix = "/balances/" } };
    value.expectedRunTimeMs = 15;
    value.goal = weighting::batch_throughput;
    value.authorityTermMs = 3600;
    value.maxAttempts = 17;
    value.command = "run \"x\"";
    BOOST_TEST((parseTemplate(toDocument(value)) == value));
    const work_parameters parameters{ .account = "a1",
                                      .templateName = "t",
                                      .values = { { "fund", "12" } },
                                      .taskCount = 3,
                                      .deadlineMs = 4,
                                      .maxRunningTasks = 5 };
    BOOST_TEST((parseParameters(toDocument(parameters)) == parameters));
    const work_template defaults = parseTemplate(R"({"version":1,"name":"t","kind":"batch"})");
    BOOST_TEST((defaults == work_template{ .name = "t" }));
}

// Guards against a misspelt setting that is silently left at its default.
BOOST_AUTO_TEST_CASE(unknownFieldsAreNamedWithTheirPath)
{
    BOOST_TEST(faultStartsWith(R"(,"slotz":1)", "slotz"));
    BOOST_TEST(faultStartsWith(R"(,"weighting":"latency")", "weighting"));
    BOOST_TEST(faultStartsWith(R"(,"task_resources":{"memory":1})", "task_resources.memory"));
    BOOST_TEST(faultStartsWith(R"(,"idempotent_paths":[{"method":"PUT","prefix":"/","x":1}])",
                               "idempotent_paths[0].x"));
    BOOST_CHECK_THROW(parseParameters(R"({"version":1,"account":"a","template":"t","x":1})"),
                      error);
}

// Guards against values that overflow or that no process can work with.
BOOST_AUTO_TEST_CASE(valuesOutOfRangeAreRefused)
{
    BOOST_TEST(faultStartsWith(R"(,"slots":0)", "slots"));
    BOOST_TEST(faultStartsWith(R"(,"slots":"8")", "slots"));
    BOOST_TEST(faultStartsWith(R"(,"slots":8.5)", "slots"));
    BOOST_TEST(faultStartsWith(R"(,"slots":4294967304)", "slots"));
    BOOST_TEST(faultStartsWith(R"(,"authority_term_ms":-1)", "authority_term_ms"));
    BOOST_TEST(faultStartsWith(R"(,"task_resources":{"memory_bytes":9223372036854775807})",
                               "task_resources.memory_bytes"));
    BOOST_TEST(faultStartsWith(R"(,"task_resources":[])", "task_resources"));
    BOOST_TEST(faultStartsWith(R"(,"task_priority":"high")", "task_priority"));
    BOOST_TEST(faultStartsWith(R"(,"idempotent_paths":[{"method":"PUT","prefix":"x"}])",
                               "idempotent_paths[0].prefix"));
    BOOST_TEST(faultStartsWith(",\"command\":\"" + std::string(20'000, 'x') + '"', "command"));
}

// Guards against documents of another kind or version that are taken for templates.
BOOST_AUTO_TEST_CASE(documentsWithoutVersionNameOrSyntaxAreRefused)
{
    for (const char *document :
         { "", "{", "[]", "1", R"({"name":"t","kind":"batch"})",
           R"({"version":2,"name":"t","kind":"batch"})", R"({"version":1,"kind":"batch"})",
           R"({"version":1,"name":"a/b","kind":"batch"})",
           R"({"version":1,"name":"","kind":"batch"})", R"({"version":1,"name":"t"})",
           R"({"version":1,"name":"t","kind":"other"})" })
        BOOST_CHECK_THROW(parseTemplate(document), error);
    BOOST_CHECK_THROW(parseTemplate(std::string(100'000, '[')), error);
    BOOST_CHECK_THROW(
            parseParameters(R"({"version":1,"account":"a","template":"t","values":{"x":1}})"),
            error);
}
