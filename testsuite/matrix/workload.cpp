#include "workload.h"

#include <boost/json.hpp>

namespace plantainpitch::matrix {

namespace {

constexpr duration requestInterval = std::chrono::milliseconds(25);
constexpr duration jobInterval = std::chrono::milliseconds(1500);
constexpr duration configInterval = std::chrono::seconds(2);
constexpr duration configBound = std::chrono::seconds(4);
/// More requests at once than all endpoints queue, so that agents refuse some.
constexpr duration burstAt = std::chrono::seconds(6);
constexpr int burstRequests = 250;

std::string poolTemplate(std::uint64_t change)
{
    return R"({"version":1,"name":"pool","kind":"service","team":"delegates",)"
           R"("task_resources":{"processors_milli":1000,"memory_bytes":1000000000,"accelerators":0},)"
           R"("idempotent_paths":[{"method":"GET","prefix":"/"}],"queue_limit":)"
           + std::to_string(24 + change % 8) + "}";
}

/// Tasks of \a runMs under a term of \a termMs. The long ones outlast the time after which a VM
/// counts as lost, so that a claim moved too early runs in two places.
std::string batchTemplate(const std::string &name, int processors, int runMs, int termMs)
{
    return R"({"version":1,"name":")" + name + R"(","kind":"batch","team":"payouts",)"
           + R"("task_resources":{"processors_milli":)" + std::to_string(processors)
           + R"(,"memory_bytes":1000000000,"accelerators":0},"command":")" + std::to_string(runMs)
           + R"(","authority_term_ms":)" + std::to_string(termMs) + R"(,"expected_run_time_ms":)"
           + std::to_string(runMs) + "}";
}

std::string parameters(const std::string &name)
{
    return R"({"version":1,"account":"fund","template":")" + name
           + R"(","task_count":2,"deadline_ms":60000})";
}

} // namespace

workload::workload(world &target)
    : m_world(target)
{}

void workload::start()
{
    publish("/v1/templates/pool", poolTemplate(0));
    publish("/v1/templates/split", batchTemplate("split", 1000, 1500, 4000));
    publish("/v1/templates/huge", batchTemplate("huge", 64000, 1500, 4000));
    publish("/v1/templates/long", batchTemplate("long", 500, 12'000, 8000));
    publish("/v1/accounts/fund/parameters/long", parameters("long"));
    publish("/v1/accounts/fund/parameters/split", parameters("split"));
    publish("/v1/accounts/fund/parameters/huge", parameters("huge"));
    m_world.queue.after(std::chrono::seconds(2), [this] {
        requestLoop();
        jobLoop();
        configLoop();
    });
    m_world.queue.after(burstAt, [this] {
        for (int i = 0; i < burstRequests; ++i)
            sendRequest(m_nextNumber++, 1);
    });
}

void workload::publish(const std::string &target, const std::string &body)
{
    node &entry = m_world.anyReadyEntry();
    const std::string query = "?base_revision=" + std::to_string(m_revisions[target]);
    m_world.admin(entry, { .method = "PUT", .target = target + query, .body = body },
                  [this, target, body](const answer_admin &answered) {
                      onPublished(target, answered);
                      if (answered.status == 503 && !m_revisions.contains(target + "!"))
                          m_world.queue.after(std::chrono::milliseconds(200),
                                              [=, this] { publish(target, body); });
                  });
}

void workload::onPublished(const std::string &target, const answer_admin &answered)
{
    const boost::json::object body = boost::json::parse(answered.body).as_object();
    if (answered.status == 200) {
        const std::uint64_t revision = body.at("revision").to_number<std::uint64_t>();
        m_revisions[target] = std::max(m_revisions[target], revision);
        const instant published = m_world.queue.now();
        m_world.queue.after(configBound, [=, this] { checkApplied(revision, published); });
    } else if (answered.status == 409) {
        const auto &problem = body.at("error").as_object();
        m_revisions[target] = problem.at("current_revision").to_number<std::uint64_t>();
    } else if (answered.status == 504) {
        // Unknown: the operator reads the current revision before the next change, which the 409
        // of that change does here.
    }
}

bool workload::isExempt(const node &target, instant since) const
{
    if (!target.alive || target.frozen)
        return true;
    const auto it = m_exemptUntil.find(target.name);
    return it != m_exemptUntil.end() && it->second >= since;
}

void workload::exempt(const std::string &process, instant until)
{
    instant &known = m_exemptUntil[process];
    known = std::max(known, until);
}

void workload::checkApplied(std::uint64_t revision, instant published)
{
    for (auto &agent : m_world.agents) {
        if (isExempt(*agent, published))
            continue;
        const auto status = boost::json::parse(agent->agent->status()).as_object();
        const auto applied = status.at("config_revision").to_number<std::uint64_t>();
        m_world.watch.onRevisionSeen(agent->name + std::to_string(agent->incarnation), applied);
        if (applied < revision)
            m_world.watch.onLateRevision(agent->name, revision);
    }
    for (auto &entry : m_world.entries) {
        if (isExempt(*entry, published) || !entry->entry->ready())
            continue;
        const std::string name = entry->name + std::to_string(entry->incarnation);
        m_world.admin(*entry, { .method = "GET", .target = "/v1/status", .body = {} },
                      [this, name, revision](const answer_admin &answered) {
                          const auto status = boost::json::parse(answered.body).as_object();
                          const auto applied =
                                  status.at("config_revision").to_number<std::uint64_t>();
                          m_world.watch.onRevisionSeen(name, applied);
                          if (applied < revision)
                              m_world.watch.onLateRevision(name, revision);
                      });
    }
}

void workload::requestLoop()
{
    if (m_stopped)
        return;
    sendRequest(m_nextNumber++, 1);
    m_world.queue.after(requestInterval, [this] { requestLoop(); });
}

void workload::sendRequest(std::uint64_t number, int attempt)
{
    // Of ten requests five are idempotent, two are not, and three are not but have a key.
    const bool idempotent = number % 10 < 5;
    const bool keyed = number % 10 >= 7;
    caller_request request;
    request.request.account = "fund";
    request.request.templateName = "pool";
    request.request.method = idempotent ? "GET" : "POST";
    request.request.path = (idempotent ? "/balance/" : "/pay/") + std::to_string(number);
    if (keyed)
        request.idempotencyKey = "key-" + std::to_string(number);
    request.timeoutMs = 2000;
    m_openRequests.insert(number);
    const std::string path = request.request.path;
    m_world.request(m_world.anyReadyEntry(), request,
                    [this, number, attempt, path](const answer_caller &answered) {
                        onOutcome(number, attempt, path, answered);
                    });
}

void workload::onOutcome(std::uint64_t number, int attempt, const std::string &path,
                         const answer_caller &answered)
{
    m_openRequests.erase(number);
    const bool own = answered.content.body == "answer to " + path;
    const bool keyed = number % 10 >= 7;
    const bool repeat = keyed && answered.outcome != outcome_kind::answered && attempt < 3;
    m_world.watch.onOutcome(number, repeat || attempt > 1, answered.outcome, own);
    if (repeat)
        m_world.queue.after(std::chrono::milliseconds(700),
                            [=, this] { sendRequest(number, attempt + 1); });
}

void workload::jobLoop()
{
    if (m_stopped)
        return;
    const std::string id = "job-" + std::to_string(m_nextJob++);
    submitJob(id, m_nextJob % 3 == 0 ? "long" : "split");
    if (m_nextJob % 5 == 0)
        m_world.queue.after(std::chrono::milliseconds(900), [this, id] { cancelJob(id); });
    m_world.queue.after(jobInterval, [this] { jobLoop(); });
}

void workload::submitJob(const std::string &id, const std::string &templateName)
{
    const std::string body = R"({"version":1,"account":"fund","template":")" + templateName
                             + R"(","id":")" + id + R"("})";
    m_world.admin(m_world.anyReadyEntry(), { .method = "POST", .target = "/v1/jobs", .body = body },
                  [this, id, templateName](const answer_admin &answered) {
                      if (answered.status == 200 || answered.status == 201)
                          m_acceptedJobs.insert(id);
                      else if (!m_stopped)
                          m_world.queue.after(std::chrono::seconds(1),
                                              [=, this] { submitJob(id, templateName); });
                  });
}

void workload::cancelJob(const std::string &id)
{
    m_cancelledJobs.insert(id);
    m_world.admin(m_world.anyReadyEntry(),
                  { .method = "DELETE", .target = "/v1/jobs/" + id, .body = {} },
                  [](const answer_admin &) {});
}

void workload::configLoop()
{
    if (m_stopped)
        return;
    publish("/v1/templates/pool", poolTemplate(m_nextChange++));
    m_world.queue.after(configInterval, [this] { configLoop(); });
}

void workload::raceOperators()
{
    for (int i = 0; i < 4; ++i)
        publish("/v1/templates/pool", poolTemplate(m_nextChange++));
}

void workload::cancelBurst()
{
    for (int i = 0; i < 20; ++i) {
        const std::string id = "burst-" + std::to_string(m_nextJob++);
        submitJob(id, "split");
        m_world.queue.after(std::chrono::milliseconds(300), [this, id] { cancelJob(id); });
    }
}

void workload::submitImpossible()
{
    const std::string id = "huge-" + std::to_string(m_nextJob++);
    m_cancelledJobs.insert(id);
    submitJob(id, "huge");
}

void workload::finish()
{
    if (!m_openRequests.empty())
        m_world.watch.onPlannedStopCut(std::to_string(m_openRequests.size())
                                       + " requests never got an answer");
    for (const std::string &id : m_acceptedJobs)
        checkJob(id);
    m_world.run(std::chrono::seconds(1));
}

void workload::checkJob(const std::string &id)
{
    if (m_cancelledJobs.contains(id))
        return;
    m_world.admin(m_world.anyReadyEntry(),
                  { .method = "GET", .target = "/v1/jobs/" + id, .body = {} },
                  [this, id](const answer_admin &answered) {
                      if (answered.status != 200) {
                          m_world.watch.onJobLost(id + ": " + answered.body);
                          return;
                      }
                      const auto job = boost::json::parse(answered.body).at("job").as_object();
                      if (job.at("open_tasks").to_number<std::uint64_t>() != 0)
                          m_world.watch.onJobLost(boost::json::serialize(job));
                      for (const auto &task : job.at("tasks").as_array()) {
                          if (task.at("phase") == "failed")
                              m_world.watch.onJobLost(boost::json::serialize(job));
                      }
                  });
}

} // namespace plantainpitch::matrix
