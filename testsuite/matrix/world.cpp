#include "world.h"

#include <algorithm>
#include <cstdlib>

namespace plantainpitch::matrix {

namespace {

constexpr duration tickTime = std::chrono::milliseconds(50);
constexpr duration reconnectTime = std::chrono::milliseconds(200);
/// After this time without a message the runtime closes a connection (peer_options::idleTimeout).
constexpr duration silentPeerTime = std::chrono::seconds(5);

} // namespace

world::world(world_options options)
    : log(queue, options.seed + 1)
    , m_options(options)
    , m_random(options.seed)
{
    log.retainedBatches = options.retainedBatches;
    log.onStored = [this](const record_batch &batch) {
        for (const log_record &record : batch.records) {
            if (const auto *finished = std::get_if<task_finished>(&record))
                watch.onFinishRecorded(finished->task.toString(), finished->attempt);
            else if (const auto *claimed = std::get_if<task_claimed>(&record))
                watch.onClaimRecorded(claimed->task.toString());
            else if (const auto *released = std::get_if<task_released>(&record))
                watch.onReleaseRecorded(released->task.toString(), released->attempt,
                                        std::atoll(released->checkpoint.c_str()));
            else if (const auto *revoked = std::get_if<task_revoked>(&record))
                watch.onRevocationRecorded(revoked->task.toString(), revoked->attempt);
        }
    };
    makeNodes();
    connectNodes();
}

void world::makeNodes()
{
    const auto rate = [this] {
        const double unit = static_cast<double>(m_random() % 2001) / 1000.0 - 1.0;
        return 1.0 + unit * m_options.clockDriftRatio;
    };
    for (std::size_t i = 0; i < m_options.entries + m_options.agents; ++i) {
        auto item = std::make_unique<node>();
        item->isEntry = i < m_options.entries;
        const std::size_t number = item->isEntry ? i : i - m_options.entries;
        item->name = (item->isEntry ? "entry-" : "vm-") + std::to_string(number + 1);
        item->dataCentre = "dc-" + std::to_string(number % 2 + 1);
        item->clockRate = rate();
        if (!item->isEntry) {
            item->worker = std::make_unique<fake_worker>(queue, watch, item->name,
                                                         m_options.capacity, m_random());
            item->worker->clockRate = rate();
        }
        auto &list = item->isEntry ? entries : agents;
        list.push_back(std::move(item));
        startProcess(*list.back());
    }
}

hello world::helloOf(const node &target)
{
    return { .kind = target.isEntry ? process_kind::entry : process_kind::agent,
             .name = target.name,
             .dataCentre = target.dataCentre,
             .incarnation = target.incarnation };
}

void world::startProcess(node &target)
{
    if (target.alive)
        return;
    target.alive = true;
    target.stopping = false;
    target.frozen = false;
    target.waiting.clear();
    target.incarnation = m_nextIncarnation++;
    if (target.isEntry) {
        target.entry = std::make_unique<entry_role>(
                entry_role_options{ .name = target.name,
                                    .dataCentre = target.dataCentre,
                                    .incarnation = target.incarnation },
                m_random());
    } else {
        watch.onVmReplaced(target.name);
        target.agent =
                std::make_unique<agent_role>(agent_role_options{ .vm = target.name,
                                                                 .dataCentre = target.dataCentre,
                                                                 .rack = "rack-1",
                                                                 .incarnation = target.incarnation,
                                                                 .templateName = "pool" },
                                             m_random());
    }
    tickNode(target);
}

void world::tickNode(node &target)
{
    const std::uint64_t incarnation = target.incarnation;
    if (!target.alive)
        return;
    if (!target.frozen) {
        const timer_tick tick = { .nowMs = queue.now().time_since_epoch().count() / 1000 };
        deliver(target, incarnation, tick);
    }
    queue.after(tickTime, [this, &target, incarnation] {
        if (target.incarnation == incarnation)
            tickNode(target);
    });
}

void world::connectNodes()
{
    for (auto &entry : entries) {
        for (auto &agent : agents)
            connect(*agent, *entry);
        for (auto &other : entries) {
            if (entry.get() < other.get())
                connect(*entry, *other);
        }
    }
    queue.after(reconnectTime, [this] { connectNodes(); });
}

bool world::connected(const node &a, const node &b) const
{
    return std::any_of(m_links.begin(), m_links.end(), [&](const auto &item) {
        const link &known = item.second;
        return known.openA && known.a == &a && known.b == &b;
    });
}

bool world::isBlocked(const node &from, const node &to) const
{
    const auto it = m_blockedUntil.find({ &from, &to });
    return it != m_blockedUntil.end() && queue.now() < it->second;
}

void world::connect(node &a, node &b)
{
    const bool reachable = a.alive && b.alive && !a.frozen && !b.frozen && !isBlocked(a, b)
                           && !isBlocked(b, a) && !(b.isEntry && b.entry->closeListeners());
    if (!reachable || connected(a, b))
        return;
    const connection_id id = m_nextConnection++;
    m_links[id] = { .a = &a,
                    .b = &b,
                    .incarnationA = a.incarnation,
                    .incarnationB = b.incarnation,
                    .blocked = {},
                    .lastToA = {},
                    .lastToB = {} };
    deliver(a, a.incarnation, connection_opened{ id, helloOf(b) });
    deliver(b, b.incarnation, connection_opened{ id, helloOf(a) });
}

void world::send(node &from, const send_message &sent)
{
    const auto it = m_links.find(sent.connection);
    if (it == m_links.end())
        return;
    const bool fromA = it->second.a == &from;
    if (fromA ? it->second.openA : it->second.openB)
        transmit(sent.connection, fromA, sent.content);
}

void world::transmit(connection_id id, bool fromA, const message &content)
{
    link &used = m_links.at(id);
    node &from = fromA ? *used.a : *used.b;
    node &to = fromA ? *used.b : *used.a;
    if (isBlocked(from, to)) {
        used.blocked.emplace_back(fromA, content);
        return;
    }
    const duration jitter(m_random() % (m_options.linkDelay.count() + 1));
    instant &last = fromA ? used.lastToB : used.lastToA;
    last = std::max(last, queue.now() + m_options.linkDelay + m_extraDelay + jitter);
    queue.after(last - queue.now(), [this, id, fromA, content] {
        const auto it = m_links.find(id);
        if (it == m_links.end() || !(fromA ? it->second.openB : it->second.openA))
            return;
        node &target = fromA ? *it->second.b : *it->second.a;
        const std::uint64_t incarnation = fromA ? it->second.incarnationB : it->second.incarnationA;
        deliver(target, incarnation, message_received{ id, content });
    });
}

void world::flushBlocked(connection_id id)
{
    const auto it = m_links.find(id);
    if (it == m_links.end())
        return;
    for (const auto &[fromA, content] : std::exchange(it->second.blocked, {}))
        transmit(id, fromA, content);
}

void world::closeSide(connection_id id, bool sideA)
{
    const auto it = m_links.find(id);
    if (it == m_links.end())
        return;
    link &closing = it->second;
    bool &open = sideA ? closing.openA : closing.openB;
    if (!open)
        return;
    open = false;
    node &target = sideA ? *closing.a : *closing.b;
    deliver(target, sideA ? closing.incarnationA : closing.incarnationB, connection_closed{ id });
    queue.after(m_options.linkDelay, [this, id, sideA] { closeSide(id, !sideA); });
}

void world::closeAll(node &target, bool silently)
{
    for (auto &[id, item] : m_links) {
        if (item.a != &target && item.b != &target)
            continue;
        const bool sideA = item.a == &target;
        (sideA ? item.openA : item.openB) = false;
        const duration detection = silently ? silentPeerTime : m_options.linkDelay;
        queue.after(detection, [this, id = id, sideA] { closeSide(id, !sideA); });
    }
}

template <typename Event>
void world::deliver(node &target, std::uint64_t incarnation, Event event)
{
    if (!target.alive || target.incarnation != incarnation)
        return;
    if (target.frozen) {
        target.waiting.push_back(
                [this, &target, incarnation, event] { deliver(target, incarnation, event); });
        return;
    }
    if constexpr (std::is_constructible_v<entry_event, Event>) {
        if (target.isEntry)
            handle(target, entry_event(event));
    }
    if constexpr (std::is_constructible_v<agent_event, Event>) {
        if (!target.isEntry)
            handle(target, agent_event(event));
    }
}

void world::handle(node &target, const entry_event &event)
{
    const instant now = target.clock(queue.now());
    const std::uint64_t incarnation = target.incarnation;
    const auto valid = [&] { return target.alive && target.incarnation == incarnation; };
    for (const std::size_t shard : target.entry->shardsOf(event)) {
        if (valid())
            perform(target, target.entry->handle(shard, now, event));
    }
    for (bool more = true; more;) {
        more = false;
        for (std::size_t shard = 0; valid() && shard < target.entry->shardCount(); ++shard) {
            if (!target.entry->hasInbox(shard))
                continue;
            more = true;
            perform(target, target.entry->handleInbox(shard, now));
        }
    }
}

void world::handle(node &target, const agent_event &event)
{
    const instant now = target.clock(queue.now());
    const std::uint64_t incarnation = target.incarnation;
    for (const std::size_t shard : target.agent->shardsOf(event)) {
        if (target.alive && target.incarnation == incarnation)
            perform(target, target.agent->handle(shard, now, event));
    }
}

void world::perform(node &target, action_list actions)
{
    const std::uint64_t incarnation = target.incarnation;
    for (const action &item : actions) {
        if (tap)
            tap(target, item);
        // The tap may have killed or frozen the process between two of its actions.
        if (!target.alive || target.incarnation != incarnation)
            return;
        if (target.frozen)
            target.waiting.push_back([this, &target, item] { performOne(target, item); });
        else
            performOne(target, item);
    }
}

void world::performOne(node &target, const action &item)
{
    const std::uint64_t incarnation = target.incarnation;
    const auto back = [this, &target, incarnation](auto result) {
        deliver(target, incarnation, std::move(result));
    };
    if (const auto *sent = std::get_if<send_message>(&item)) {
        send(target, *sent);
    } else if (const auto *closing = std::get_if<close_connection>(&item)) {
        const auto it = m_links.find(closing->connection);
        if (it != m_links.end())
            closeSide(closing->connection, it->second.a == &target);
    } else if (const auto *append = std::get_if<append_call>(&item)) {
        log.append(*append, back);
    } else if (const auto *read = std::get_if<read_call>(&item)) {
        log.read(target.name, *read, back);
    } else if (const auto *call = std::get_if<worker_call>(&item)) {
        target.worker->call(*call, back);
    } else if (const auto *service = std::get_if<service_call>(&item)) {
        callService(target, *service);
    } else if (const auto *answered = std::get_if<answer_caller>(&item)) {
        const auto node = m_callers.extract(answered->callerId);
        m_callerNodes.erase(answered->callerId);
        if (!node.empty())
            node.mapped()(*answered);
    } else if (const auto *admin = std::get_if<answer_admin>(&item)) {
        const auto node = m_admins.extract(admin->adminId);
        if (!node.empty())
            node.mapped()(*admin);
    } else if (const auto *count = std::get_if<count_metric>(&item)) {
        counters[count->name + "/" + count->label] += count->amount;
    } else if (std::holds_alternative<exit_process>(item)) {
        finishGracefulStop(target);
    } else if (const auto *line = std::get_if<write_log>(&item);
               line && std::getenv("MATRIX_LOG")) {
        std::fprintf(stderr, "%10.3f %s %s",
                     static_cast<double>(queue.now().time_since_epoch().count()) / 1e6 - 3600,
                     target.name.c_str(), line->event.c_str());
        for (const auto &[key, value] : line->fields)
            std::fprintf(stderr, " %s=%s", key.c_str(), value.c_str());
        std::fprintf(stderr, "\n");
    }
}

void world::callService(node &target, const service_call &call)
{
    const std::uint64_t incarnation = target.incarnation;
    if (!target.worker->alive()) {
        deliver(target, incarnation,
                service_result{ call.callId, service_result_kind::connect_failed, {} });
        return;
    }
    // Paths are /<balance|pay>/<number>.
    const std::string &path = call.request.path;
    const std::uint64_t number =
            std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    queue.after(std::chrono::milliseconds(1), [this, &target, incarnation, call, number] {
        watch.onServiceStarted(queue.now(), target.name, number, call.request.method == "GET");
        queue.after(target.serviceTime, [this, &target, incarnation, call] {
            service_result result = { call.callId,
                                      service_result_kind::answered,
                                      { 200, "text/plain", "answer to " + call.request.path } };
            if (target.serviceBroken || !target.worker->alive())
                result = { call.callId, service_result_kind::broken, {} };
            deliver(target, incarnation, result);
        });
    });
}

void world::request(node &entry, caller_request request, std::function<void(answer_caller)> done)
{
    request.callerId = m_nextId++;
    request.nowMs = queue.now().time_since_epoch().count() / 1000;
    if (!entry.alive) {
        done({ .callerId = request.callerId, .outcome = outcome_kind::unknown });
        return;
    }
    m_callers[request.callerId] = std::move(done);
    m_callerNodes[request.callerId] = { &entry, entry.incarnation };
    deliver(entry, entry.incarnation, request);
}

void world::admin(node &entry, admin_request request, std::function<void(answer_admin)> done)
{
    request.adminId = m_nextId++;
    m_admins[request.adminId] = std::move(done);
    deliver(entry, entry.incarnation, request);
}

node &world::anyReadyEntry()
{
    std::vector<node *> ready;
    for (auto &entry : entries) {
        if (entry->alive && !entry->frozen && entry->entry->ready())
            ready.push_back(entry.get());
    }
    return ready.empty() ? *entries[m_random() % entries.size()]
                         : *ready[m_random() % ready.size()];
}

void world::killProcess(node &target)
{
    if (!target.alive)
        return;
    target.alive = false;
    target.waiting.clear();
    if (target.worker)
        target.worker->forgetReports();
    closeAll(target, false);
    breakCallers(target);
}

void world::breakCallers(const node &target)
{
    std::vector<std::uint64_t> broken;
    for (const auto &[caller, where] : m_callerNodes) {
        if (where.first == &target)
            broken.push_back(caller);
    }
    for (const std::uint64_t caller : broken) {
        m_callerNodes.erase(caller);
        const auto item = m_callers.extract(caller);
        item.mapped()({ .callerId = caller, .outcome = outcome_kind::unknown });
    }
}

void world::killVm(node &target)
{
    if (target.worker)
        target.worker->die(true);
    if (!target.alive)
        return;
    target.alive = false;
    target.waiting.clear();
    closeAll(target, true);
    breakCallers(target);
}

void world::restartVm(node &target)
{
    if (target.worker && !target.worker->alive())
        target.worker->restart();
    startProcess(target);
}

void world::freeze(node &target, duration time)
{
    if (!target.alive || target.frozen)
        return;
    target.frozen = true;
    queue.after(time, [this, &target, incarnation = target.incarnation] {
        if (!target.alive || target.incarnation != incarnation)
            return;
        target.frozen = false;
        for (const auto &item : std::exchange(target.waiting, {}))
            item();
    });
}

void world::suspendVm(node &target, duration time)
{
    if (target.worker && target.worker->alive()) {
        target.worker->suspend();
        queue.after(time, [&target] { target.worker->resume(); });
    }
    freeze(target, time);
}

void world::stopGracefully(node &target)
{
    if (!target.alive || target.stopping)
        return;
    target.stopping = true;
    const auto stop = [this, &target, incarnation = target.incarnation] {
        if (!target.isEntry)
            watch.onDrainStarted(queue.now(), target.name);
        deliver(target, incarnation, stop_requested{});
    };
    // A frozen process gets the signal, and with it the order to leave, when it wakes.
    if (target.frozen)
        target.waiting.emplace_back(stop);
    else
        stop();
}

void world::finishGracefulStop(node &target)
{
    for (const auto &[caller, where] : m_callerNodes) {
        if (where.first == &target && where.second == target.incarnation)
            watch.onPlannedStopCut(target.name + " exited with requests in flight");
    }
    killProcess(target);
}

void world::block(node &from, node &to, duration time)
{
    m_blockedUntil[{ &from, &to }] = queue.now() + time;
    queue.after(time + std::chrono::milliseconds(1), [this] {
        std::vector<connection_id> ids;
        for (const auto &[id, item] : m_links)
            ids.push_back(id);
        for (const connection_id id : ids)
            flushBlocked(id);
    });
}

void world::resetConnections(node &target)
{
    std::vector<std::pair<connection_id, bool>> ids;
    for (const auto &[id, item] : m_links) {
        if (item.a == &target || item.b == &target)
            ids.emplace_back(id, item.a == &target);
    }
    for (const auto &[id, sideA] : ids)
        closeSide(id, sideA);
}

void world::delayMessages(duration extra, duration time)
{
    m_extraDelay = extra;
    queue.after(time, [this] { m_extraDelay = duration(); });
}

} // namespace plantainpitch::matrix
