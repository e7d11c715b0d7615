#pragma once

#include "event_queue.h"
#include "fake_log.h"
#include "node.h"
#include "observer.h"
#include "world_options.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace plantainpitch::matrix {

/// Entries, agents and the fakes around them in one thread on virtual time. Only messages pass
/// between the nodes.
class world
{
public:
    explicit world(world_options options);

    /// Called for every action that a node takes, before it is carried out; may inject faults.
    using action_tap = std::function<void(node &, const action &)>;

    event_queue queue;
    observer watch;
    fake_log log;
    std::vector<std::unique_ptr<node>> entries;
    std::vector<std::unique_ptr<node>> agents;
    action_tap tap;
    std::map<std::string, std::uint64_t> counters; ///< count_metric by name and label

    void run(duration time) { queue.runUntil(queue.now() + time); }

    // Faults.
    void killProcess(node &target);
    void startProcess(node &target);
    /// Kills the process and everything on its VM, without closing connections.
    void killVm(node &target);
    void restartVm(node &target);
    void freeze(node &target, duration time);
    void suspendVm(node &target, duration time);
    void stopGracefully(node &target);
    /// Messages from one node to the other wait while the direction is blocked.
    void block(node &from, node &to, duration time);
    void resetConnections(node &target);
    void delayMessages(duration extra, duration time);

    // Callers and operators.
    void request(node &entry, caller_request request, std::function<void(answer_caller)> done);
    void admin(node &entry, admin_request request, std::function<void(answer_admin)> done);
    node &anyReadyEntry();
    std::uint64_t random() { return m_random(); }
    [[nodiscard]] const world_options &options() const { return m_options; }

private:
    struct link
    {
        node *a = nullptr;
        node *b = nullptr;
        std::uint64_t incarnationA = 0;
        std::uint64_t incarnationB = 0;
        bool openA = true; ///< side a has not closed
        bool openB = true;
        std::deque<std::pair<bool, message>> blocked; ///< true: sent by a
        instant lastToA; ///< keeps the order of delivery
        instant lastToB;
    };

    void makeNodes();
    void tickNode(node &target);
    void connectNodes();
    void connect(node &a, node &b);
    [[nodiscard]] bool connected(const node &a, const node &b) const;
    [[nodiscard]] bool isBlocked(const node &from, const node &to) const;
    void send(node &from, const send_message &sent);
    void transmit(connection_id id, bool fromA, const message &content);
    void flushBlocked(connection_id id);
    void closeSide(connection_id id, bool sideA);
    /// Callers of a process that died see a broken connection.
    void breakCallers(const node &target);
    void closeAll(node &target, bool silently);
    template <typename Event>
    void deliver(node &target, std::uint64_t incarnation, Event event);
    void handle(node &target, const entry_event &event);
    void handle(node &target, const agent_event &event);
    void perform(node &target, action_list actions);
    void performOne(node &target, const action &item);
    void callService(node &target, const service_call &call);
    void finishGracefulStop(node &target);
    static hello helloOf(const node &target);

    world_options m_options;
    std::mt19937_64 m_random;
    std::map<connection_id, link> m_links;
    std::map<std::pair<const node *, const node *>, instant> m_blockedUntil;
    connection_id m_nextConnection = 1;
    std::uint64_t m_nextIncarnation = 1000;
    std::uint64_t m_nextId = 1;
    duration m_extraDelay{};
    std::map<std::uint64_t, std::function<void(answer_caller)>> m_callers;
    std::map<std::uint64_t, std::pair<node *, std::uint64_t>> m_callerNodes;
    std::map<std::uint64_t, std::function<void(answer_admin)>> m_admins;
};

} // namespace plantainpitch::matrix
