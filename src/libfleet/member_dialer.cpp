#include "plantainpitch/fleet/member_dialer.h"

#include "plantainpitch/model/error.h"
#include "plantainpitch/runtime/host_port.h"

namespace plantainpitch::fleet {

namespace asio = boost::asio;
using boost::system::error_code;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds connectTimeout{ 1'000 };
constexpr std::chrono::milliseconds firstRetry{ 100 };
constexpr std::chrono::milliseconds longestRetry{ 800 };

} // namespace

struct member_dialer::peer
{
    explicit peer(asio::io_context &context)
        : timer(context)
    {}

    sched::member who;
    asio::steady_timer timer;
    std::shared_ptr<runtime::frame_link> link;
    bool open = false; ///< the member has answered the hello
    std::chrono::milliseconds backoff = firstRetry;
    steady::time_point lastOpen = steady::now();
    bool removed = false;
};

member_dialer::member_dialer(asio::io_context &context, sched::owner_hello hello, callbacks calls)
    : m_context(context)
    , m_hello(std::move(hello))
    , m_calls(std::move(calls))
{}

member_dialer::~member_dialer()
{
    close();
}

void member_dialer::add(const sched::member &found)
{
    const auto known = m_peers.find(found.address);
    if (known != m_peers.end()) {
        known->second->who = found;
        known->second->lastOpen = steady::now();
        return;
    }
    auto target = std::make_shared<peer>(m_context);
    target->who = found;
    m_peers[found.address] = target;
    connect(target);
}

void member_dialer::connect(const std::shared_ptr<peer> &target)
{
    auto socket = std::make_shared<asio::ip::tcp::socket>(m_context);
    const auto address = runtime::parseHostPort(target->who.address);
    boost::system::error_code code;
    const auto ip = asio::ip::make_address(address ? address->host : std::string(), code);
    if (code) {
        m_calls.failed("member " + target->who.node
                       + " has no usable address: " + target->who.address);
        return;
    }
    const asio::ip::tcp::endpoint where(ip, address->port);
    target->timer.expires_after(connectTimeout);
    target->timer.async_wait([socket](const error_code &failure) {
        error_code ignored;
        if (!failure)
            socket->close(ignored);
    });
    socket->async_connect(where, [this, target, socket](const error_code &failure) {
        if (target->removed) // the dialer may be gone
            return;
        target->timer.cancel();
        if (failure || !socket->is_open())
            retry(target);
        else
            onConnected(target, socket);
    });
}

void member_dialer::onConnected(const std::shared_ptr<peer> &target,
                                const std::shared_ptr<asio::ip::tcp::socket> &socket)
{
    target->link = std::make_shared<runtime::frame_link>(std::move(*socket),
                                                         runtime::frame_link_options{});
    target->link->start(
            { .frame = [this, target](const std::string &frame) { onFrame(target, frame); },
              .closed = [this, target](const std::string & /*reason*/) { onClosed(target); } });
    target->link->send(sched::encodeMessage(sched::makeMessage(m_hello)));
}

void member_dialer::onFrame(const std::shared_ptr<peer> &target, const std::string &frame)
{
    sched::message content;
    try {
        content = sched::decodeMessage(frame);
    } catch (const error &failure) {
        m_calls.failed(failure.what());
        return;
    }
    if (const auto *hello = content.content.Asmember_hello()) {
        target->who.node = hello->node;
        target->who.isAgent = hello->isAgent;
        target->open = true;
        target->backoff = firstRetry;
        m_byNode[target->who.node] = target;
        m_calls.opened(target->who);
    } else if (target->open) {
        m_calls.received(target->who, content);
    }
}

void member_dialer::onClosed(const std::shared_ptr<peer> &target)
{
    target->link = nullptr;
    if (std::exchange(target->open, false)) {
        target->lastOpen = steady::now();
        const auto named = m_byNode.find(target->who.node);
        if (named != m_byNode.end() && named->second == target)
            m_byNode.erase(named);
        m_calls.closed(target->who);
    }
    retry(target);
}

void member_dialer::retry(const std::shared_ptr<peer> &target)
{
    if (m_closed)
        return;
    if (steady::now() - target->lastOpen > longestUnreachable) {
        target->removed = true;
        const sched::member who = target->who;
        m_peers.erase(who.address);
        m_calls.gone(who);
        return;
    }
    target->timer.expires_after(target->backoff);
    target->backoff = std::min(target->backoff * 2, longestRetry);
    target->timer.async_wait([this, target](const error_code &failure) {
        if (!failure && !target->removed)
            connect(target);
    });
}

void member_dialer::send(const std::string &node, const sched::message &content)
{
    const auto found = m_byNode.find(node);
    if (found != m_byNode.end() && found->second->link)
        found->second->link->send(sched::encodeMessage(content));
}

void member_dialer::sendToAll(const sched::message &content, bool agents)
{
    const std::string frame = sched::encodeMessage(content);
    for (const auto &[node, target] : m_byNode) {
        if (target->who.isAgent == agents && target->link)
            target->link->send(frame);
    }
}

std::vector<std::string> member_dialer::agents() const
{
    std::vector<std::string> nodes;
    for (const auto &[address, target] : m_peers) {
        if (target->who.isAgent)
            nodes.push_back(target->who.node);
    }
    return nodes;
}

void member_dialer::close()
{
    m_closed = true;
    for (const auto &[address, target] : m_peers) {
        target->removed = true;
        target->timer.cancel();
        if (target->link)
            target->link->close();
    }
    m_peers.clear();
    m_byNode.clear();
}

} // namespace plantainpitch::fleet
