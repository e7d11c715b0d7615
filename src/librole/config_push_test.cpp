// Tests for the configuration updates that an entry sends to its agents after reading the log.

#include "plantainpitch/role/entry_role.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace plantainpitch {

namespace {

config_change templateChange(const std::string &name, const std::string &command)
{
    return { .name = name,
             .document = R"({"version":1,"name":")" + name + R"(","kind":"batch","command":")"
                         + command + R"("})" };
}

struct entry_fixture
{
    entry_role entry{ { .name = "e1", .dataCentre = "d1", .cell = "r1", .incarnation = 1 }, 1 };
    instant now{ std::chrono::seconds(10) };
    std::vector<record_batch> configStream;
    std::vector<send_message> sent;

    /// Appends a batch with one change, which the entry reads at the next tick.
    void publish(const std::string &name, const std::string &command = {})
    {
        configStream.push_back({ .producer = 9,
                                 .sequence = configStream.size() + 1,
                                 .records = { templateChange(name, command) } });
    }

    void connect(connection_id connection, log_position known)
    {
        handle(connection_opened{ connection, { .name = "vm", .incarnation = connection } });
        handle(message_received{ connection, announce{ .vm = "vm" + std::to_string(connection),
                                                       .incarnation = connection,
                                                       .configRevision = known } });
    }

    /// Runs ten ticks so that the entry reads the log; returns the updates sent meanwhile.
    std::vector<config_update> poll(connection_id connection)
    {
        sent.clear();
        for (int i = 0; i < 10; ++i) {
            now += std::chrono::milliseconds(50);
            handle(timer_tick{});
        }
        return updatesTo(connection);
    }

    [[nodiscard]] std::vector<config_update> updatesTo(connection_id connection) const
    {
        std::vector<config_update> updates;
        for (const send_message &item : sent) {
            const auto *update = std::get_if<config_update>(&item.content);
            if (item.connection == connection && update)
                updates.push_back(*update);
        }
        return updates;
    }

    void handle(const entry_event &event)
    {
        for (const action &item : entry.handle(0, now, event)) {
            if (const auto *message = std::get_if<send_message>(&item))
                sent.push_back(*message);
            else if (const auto *read = std::get_if<read_call>(&item))
                handle(answerTo(*read));
        }
    }

    [[nodiscard]] read_answer answerTo(const read_call &call) const
    {
        read_answer answer{ .callId = call.callId, .stream = call.stream, .ok = true };
        if (call.stream != "config")
            return answer;
        answer.next = configStream.size();
        for (std::uint64_t offset = call.fromOffset; offset < answer.next; ++offset)
            answer.batches.push_back({ offset, configStream[offset] });
        return answer;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(config_push, entry_fixture)

// Guards against one message per record: in a burst of changes, the whole configuration would be
// searched and an update sent for each record and agent.
BOOST_AUTO_TEST_CASE(changes_of_one_read_are_one_update)
{
    poll(1);
    connect(1, {});
    for (const char *name : { "a", "b", "c" })
        publish(name);
    const auto updates = poll(1);
    BOOST_REQUIRE_EQUAL(updates.size(), 1U);
    BOOST_REQUIRE_EQUAL(updates[0].entities.size(), 3U);
    BOOST_TEST(updates[0].entities[0].name == "a");
    BOOST_TEST(updates[0].entities[2].name == "c");
    BOOST_TEST((updates[0].revision == log_position::of(2, 0)));
    BOOST_TEST(poll(1).empty());
}

// Guards against sending the update for one agent to another that has an older revision.
BOOST_AUTO_TEST_CASE(each_agent_gets_what_it_lacks)
{
    publish("a");
    connect(1, log_position::of(0, 0));
    connect(2, {});
    publish("b");
    const auto ofFirst = poll(1);
    BOOST_REQUIRE_EQUAL(ofFirst.size(), 1U);
    BOOST_REQUIRE_EQUAL(ofFirst[0].entities.size(), 1U);
    BOOST_TEST(ofFirst[0].entities[0].name == "b");
    const auto ofSecond = updatesTo(2);
    BOOST_REQUIRE_EQUAL(ofSecond.size(), 1U);
    BOOST_TEST(ofSecond[0].entities.size() == 2U);
}

// Guards against an agent that connects between two changes and never receives the older ones.
BOOST_AUTO_TEST_CASE(new_agent_gets_everything)
{
    publish("a");
    publish("b");
    poll(1);
    sent.clear();
    connect(1, {});
    BOOST_REQUIRE(!sent.empty());
    const auto *update = std::get_if<config_update>(&sent.back().content);
    BOOST_REQUIRE(update != nullptr);
    BOOST_TEST(update->entities.size() == 2U);
}

// Guards against an update above the frame limit of 1 MB, which is not sent: a new agent would
// receive no configuration at all.
BOOST_AUTO_TEST_CASE(large_configuration_is_split)
{
    constexpr int documents = 600;
    for (int i = 0; i < documents; ++i)
        publish("t" + std::to_string(i), std::string(4000, 'x'));
    poll(1);
    sent.clear();
    connect(1, {});
    std::size_t entities = 0;
    log_position last;
    for (const config_update &update : updatesTo(1)) {
        std::size_t bytes = 0;
        for (const config_entity &entity : update.entities) {
            BOOST_TEST((entity.revision > last));
            last = entity.revision;
            bytes += entity.document.size();
        }
        BOOST_TEST(bytes <= 256U * 1024);
        BOOST_TEST((update.revision == last));
        entities += update.entities.size();
    }
    BOOST_TEST(entities == std::size_t(documents));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace plantainpitch
