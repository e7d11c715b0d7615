#include "plantainpitch/role/request_admission.h"
#include "plantainpitch/role/request_router.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <queue>
#include <random>

using namespace plantainpitch;

namespace {

constexpr std::int64_t faultsEndMs = 2500;
constexpr std::int64_t endMs = 6000;

/// Simulates two routers and three agents in virtual time. Connections drop, delay, duplicate and
/// reorder messages and are lost; agents restart; the log is slow and refuses records. Records
/// every service start.
class fault_simulation
{
public:
    explicit fault_simulation(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < 2; ++i) {
            m_routers.push_back(std::make_unique<request_router>(
                    request_router_options{ .entry = i + 1, .dataCentre = "a" }, seed + i));
            work_template service{ .name = "pay", .kind = task_kind::service };
            service.idempotentPaths = { { .method = "POST", .prefix = "/read" } };
            m_routers[i]->onTemplate(std::make_shared<const work_template>(service));
        }
        for (std::size_t i = 0; i < 3; ++i)
            restart(i);
    }

    /// Returns a description of the violated invariant, or an empty string.
    std::string run()
    {
        for (std::int64_t ms = 0; ms < endMs; ms += 50)
            schedule(ms * 1000, [this] { tick(); });
        for (std::uint64_t caller = 1; caller <= 200; ++caller)
            schedule(pick(2'400'000), [this, caller] { request(caller); });
        for (int i = 0; i < 25; ++i) {
            schedule(pick(faultsEndMs * 1000), [this] { disconnect(pick(2), pick(3)); });
            if (i % 6 == 0)
                schedule(pick(faultsEndMs * 1000), [this] { restart(pick(3)); });
        }
        while (!m_events.empty()) {
            const auto event = m_events.top();
            m_events.pop();
            m_nowUs = event.timeUs;
            event.work();
            applyActions();
        }
        return check();
    }

    std::map<outcome_kind, std::size_t> outcomes;

private:
    struct timed_event
    {
        std::int64_t timeUs;
        std::uint64_t order;
        std::function<void()> work;
        bool operator<(const timed_event &other) const
        {
            return std::tie(timeUs, order) > std::tie(other.timeUs, other.order);
        }
    };
    struct agent_process
    {
        std::unique_ptr<request_admission> admission;
        std::uint64_t incarnation = 0;
    };
    struct link
    {
        std::size_t router = 0;
        std::size_t agent = 0;
        std::uint64_t incarnation = 0;
    };

    [[nodiscard]] instant now() const { return instant(duration(m_nowUs)); }
    std::size_t pick(std::size_t below) { return m_random() % below; }
    bool chance(int percent)
    {
        return m_nowUs < faultsEndMs * 1000 && pick(100) < static_cast<std::size_t>(percent);
    }
    void schedule(std::size_t us, std::function<void()> work)
    {
        m_events.push({ m_nowUs + static_cast<std::int64_t>(us), ++m_order, std::move(work) });
    }

    void request(std::uint64_t caller)
    {
        caller_request value{ .callerId = caller,
                              .request = { .account = "acc", .templateName = "pay" },
                              .timeoutMs = static_cast<std::int64_t>(50 + pick(800)) };
        value.request.method = "POST";
        value.request.path = pick(3) == 0 ? "/read/" : "/pay/";
        if (pick(3) == 0) {
            value.request.path = "/pay/";
            value.idempotencyKey = "k" + std::to_string(pick(40));
            value.request.body = value.idempotencyKey + (pick(10) == 0 ? "other" : "");
        } else {
            value.request.body = std::to_string(caller);
        }
        m_requests[caller] = value;
        m_routers[pick(2)]->onRequest(now(), value);
        if (chance(3))
            schedule(pick(200'000), [this, caller] {
                for (auto &router : m_routers)
                    router->onCallerDisconnected(now(), caller);
            });
    }

    void tick()
    {
        for (auto &router : m_routers)
            router->tick(now());
        for (auto &agent : m_agents)
            agent.admission->tick(now());
    }

    void restart(std::size_t index)
    {
        if (index >= m_agents.size())
            m_agents.resize(index + 1);
        m_agents[index] = { std::make_unique<request_admission>(request_admission_options{
                                    .templateName = "pay",
                                    .slots = 2,
                                    .queueLimit = 3,
                                    .historyLimit = pick(2) == 0 ? 8U : 4096U }),
                            ++m_lastIncarnation };
        for (std::size_t router = 0; router < m_routers.size(); ++router)
            disconnect(router, index);
    }

    void disconnect(std::size_t router, std::size_t agent)
    {
        const connection_id old = std::exchange(m_connections[{ router, agent }], 0);
        const bool agentFirst = pick(2) == 0;
        const auto dropAtAgent = [this, old, agent] {
            m_agents[agent].admission->onEntryDisconnected(now(), old);
        };
        if (agentFirst)
            dropAtAgent();
        else
            schedule(pick(30'000), dropAtAgent);
        schedule(pick(30'000),
                 [this, old, router] { m_routers[router]->onEndpointDisconnected(now(), old); });
        schedule(pick(150'000), [this, router, agent] { connect(router, agent); });
    }

    void connect(std::size_t router, std::size_t agent)
    {
        if (m_connections[{ router, agent }] != 0)
            return;
        const connection_id connection = ++m_lastConnection;
        m_connections[{ router, agent }] = connection;
        m_links[connection] = { router, agent, m_agents[agent].incarnation };
        m_agents[agent].admission->onEntryConnected(now(), connection, router + 1);
        m_routers[router]->onEndpoint(now(), { .connection = connection,
                                               .vm = "vm" + std::to_string(agent),
                                               .dataCentre = "a",
                                               .incarnation = m_agents[agent].incarnation,
                                               .templateName = "pay",
                                               .slots = 2 });
    }

    void applyActions()
    {
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            for (const auto &each : m_routers[i]->takeActions()) {
                if (const auto *out = std::get_if<send_message>(&each))
                    transmit(*out, true);
                else if (const auto *reply = std::get_if<answer_caller>(&each))
                    m_answers[reply->callerId].push_back(*reply);
                else if (const auto *record = std::get_if<submit_record>(&each))
                    appendRecord(i, *record);
                else if (const auto *metric = std::get_if<count_metric>(&each);
                         metric && metric->name == "invariant_violations_total")
                    m_violation =
                            "a router received an answer for a request proven not to have run";
            }
        }
        for (std::size_t i = 0; i < m_agents.size(); ++i) {
            for (const auto &each : m_agents[i].admission->takeActions()) {
                if (const auto *out = std::get_if<send_message>(&each))
                    transmit(*out, false);
                else if (const auto *call = std::get_if<service_call>(&each))
                    startServiceCall(i, *call);
            }
        }
    }

    void transmit(const send_message &out, bool toAgent)
    {
        const auto found = m_links.find(out.connection);
        const bool isCut =
                found == m_links.end()
                || m_connections[{ found->second.router, found->second.agent }] != out.connection;
        if (isCut || chance(3))
            return;
        const link path = found->second;
        for (int copy = chance(5) ? 2 : 1; copy > 0; --copy) {
            message content = out.content;
            if (auto *reply = std::get_if<answer>(&content); reply && chance(3))
                reply->content.body.resize(reply->content.body.size() / 2);
            schedule(chance(10) ? pick(400'000) : 500 + pick(3000),
                     [this, path, toAgent, content, from = out.connection] {
                         deliver(path, toAgent, content, from);
                     });
        }
    }

    void deliver(const link &path, bool toAgent, const message &content, connection_id from)
    {
        // Messages in transit may still arrive after a disconnection, but not at a restarted
        // process.
        if (!toAgent) {
            m_routers[path.router]->onMessage(now(), from, content);
            return;
        }
        if (m_agents[path.agent].incarnation != path.incarnation)
            return;
        auto &admission = *m_agents[path.agent].admission;
        if (const auto *request = std::get_if<dispatch>(&content))
            admission.onDispatch(now(), from, *request);
        else
            admission.onCancel(now(), from, std::get<cancel>(content));
    }

    void startServiceCall(std::size_t agent, const service_call &call)
    {
        service_result result{ .callId = call.callId, .kind = service_result_kind::answered };
        if (chance(3)) {
            result.kind = service_result_kind::connect_failed;
        } else {
            m_starts[call.id.toString()].push_back(call.request);
            if (call.request.path == "/pay/" && call.request.body.starts_with("k"))
                ++m_startsByKey[call.request.body.substr(0, call.request.body.find("other"))];
            result.content.body = call.request.body + "|" + std::string(pick(50), 'x') + "|end";
            if (chance(3))
                result.kind = service_result_kind::broken;
        }
        schedule(1000 + pick(chance(10) ? 300'000 : 20'000),
                 [this, agent, result, incarnation = m_agents[agent].incarnation] {
                     if (m_agents[agent].incarnation == incarnation)
                         m_agents[agent].admission->onServiceResult(now(), result);
                 });
    }

    void appendRecord(std::size_t router, const submit_record &submitted)
    {
        if (chance(10)) {
            schedule(pick(50'000), [this, router, token = submitted.token] {
                m_routers[router]->onRecordOutcome(now(), { .token = token }, std::nullopt);
            });
            return;
        }
        schedule(pick(chance(10) ? 900'000 : 100'000), [this, router, submitted] {
            record_outcome outcome{ .token = submitted.token, .appended = true };
            std::string key;
            std::visit(
                    [&](const auto &record) {
                        outcome.result.accepted = applyKeyRecord(record, key);
                    },
                    submitted.record);
            const auto found = m_keys.find(key);
            m_routers[router]->onRecordOutcome(
                    now(), outcome,
                    found == m_keys.end() ? std::nullopt : std::optional(found->second));
        });
    }

    template <typename type>
    bool applyKeyRecord(const type &record, std::string &key)
    {
        if constexpr (std::is_same_v<type, key_claimed>) {
            key = record.key;
            return m_keys
                    .try_emplace(key, key_state{ .entry = record.entry,
                                                 .request = record.request,
                                                 .digest = record.digest })
                    .second;
        } else if constexpr (std::is_same_v<type,
                                            key_finished> || std::is_same_v<type, key_released>) {
            key = record.key;
            const auto found = m_keys.find(key);
            if (found == m_keys.end() || found->second.entry != record.entry
                || found->second.request != record.request)
                return false;
            if constexpr (std::is_same_v<type, key_finished>) {
                found->second.finished = found->second.bodyStored = true;
                found->second.status = record.status;
                found->second.body = record.body;
            } else {
                m_keys.erase(found);
            }
            return true;
        }
        return false;
    }

    std::string check()
    {
        for (const auto &[caller, request] : m_requests) {
            const auto &answers = m_answers[caller];
            const std::string name = "caller " + std::to_string(caller);
            if (answers.size() != 1)
                return name + " got " + std::to_string(answers.size()) + " answers";
            const auto &reply = answers.front();
            ++outcomes[reply.outcome];
            const auto starts = m_starts.find(reply.requestId);
            const std::size_t runs = starts == m_starts.end() ? 0 : starts->second.size();
            if (reply.outcome == outcome_kind::not_run && runs > 0)
                return name + " was told not run, but it ran: " + reply.reason;
            if (reply.outcome != outcome_kind::answered && reply.remedy.empty())
                return name + " got no remedy";
            const auto &body = reply.content.body;
            if (reply.outcome == outcome_kind::answered
                && (!body.starts_with(request.request.body + "|") || !body.ends_with("|end")))
                return std::string(name).append(" got a wrong or incomplete answer: ").append(body);
            if (request.request.path == "/pay/" && runs > 1)
                return name + " ran " + std::to_string(runs) + " times";
        }
        for (const auto &[key, runs] : m_startsByKey) {
            if (runs > 1)
                return "key " + key + " ran " + std::to_string(runs) + " times";
        }
        for (const auto &router : m_routers) {
            if (router->inFlight() != 0)
                return "a router still has requests in flight";
        }
        return m_violation;
    }

    std::mt19937_64 m_random;
    std::int64_t m_nowUs = 0;
    std::uint64_t m_order = 0;
    std::uint64_t m_lastIncarnation = 100;
    connection_id m_lastConnection = 0;
    std::priority_queue<timed_event> m_events;
    std::vector<std::unique_ptr<request_router>> m_routers;
    std::vector<agent_process> m_agents;
    std::map<std::pair<std::size_t, std::size_t>, connection_id> m_connections;
    std::map<connection_id, link> m_links;
    std::map<std::uint64_t, caller_request> m_requests;
    std::map<std::uint64_t, std::vector<answer_caller>> m_answers;
    std::map<std::string, std::vector<service_request>> m_starts; ///< by request id
    std::map<std::string, std::size_t> m_startsByKey;
    std::map<std::string, key_state> m_keys;
    std::string m_violation;
};

} // namespace

// Guards against combinations of faults that violate invariants 4, 5 and 6 (docs/design.md, section
// 1.2).
BOOST_AUTO_TEST_CASE(invariantsHoldUnderFaults)
{
    std::map<outcome_kind, std::size_t> total;
    for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
        fault_simulation simulation(seed);
        const std::string problem = simulation.run();
        BOOST_REQUIRE_MESSAGE(problem.empty(), "seed " << seed << ": " << problem);
        for (const auto &[kind, number] : simulation.outcomes)
            total[kind] += number;
    }
    // Each outcome must occur often enough for the checks to be meaningful.
    BOOST_TEST_MESSAGE("answered " << total[outcome_kind::answered] << ", not run "
                                   << total[outcome_kind::not_run] << ", unknown "
                                   << total[outcome_kind::unknown]);
    BOOST_TEST(total[outcome_kind::answered] > 100'000U);
    BOOST_TEST(total[outcome_kind::not_run] > 10'000U);
    BOOST_TEST(total[outcome_kind::unknown] > 10'000U);
}
