#include "plantainpitch/fleet/member_dialer.h"

#include "plantainpitch/model/error.h"
#include "plantainpitch/runtime/host_port.h"

namespace plantainpitch::fleet {

namespace asio = boost::asio;
using boost::system::error_code;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds connectTimeout{ 1'000 };
constexpr std::chrono::milliseconds initialRetryDelay{ 100 };
constexpr std::chrono::milliseconds maxRetryDelay{ 800 };

} // namespace

struct member_dialer::peer
{
    explicit peer(asio::io_context &context)
        : timer(context)
    {}

    sched::member member;
    asio::steady_timer timer;
    std::shared_ptr<runtime::frame_link> link;
    bool open = false; ///< the member has replied to the hello
    std::chrono::milliseconds backoff = initialRetryDelay;
    steady::time_point lastSeen = steady::now();
    bool formerlyOwned = false; ///< an earlier owner was connected to the process
    bool left = false; ///< its announcement has been removed since it last answered
    bool removed = false;
};

member_dialer::member_dialer(asio::io_context &context, sched::owner_hello hello,
                             callbacks callbacks)
    : m_context(context)
    , m_hello(std::move(hello))
    , m_callbacks(std::move(callbacks))
{}

member_dialer::~member_dialer()
{
    close();
}

void member_dialer::add(const sched::member &member)
{
    const auto existing = m_peersByAddress.find(member.address);
    if (existing != m_peersByAddress.end()) {
        // What a connected member says of itself holds; an entry may come from another writer.
        if (!existing->second->open)
            existing->second->member = member;
        existing->second->lastSeen = steady::now();
        existing->second->left = false;
        return;
    }
    auto target = std::make_shared<peer>(m_context);
    target->member = member;
    m_peersByAddress[member.address] = target;
    connect(target);
}

void member_dialer::onLeft(const std::string &address)
{
    const auto found = m_peersByAddress.find(address);
    if (found != m_peersByAddress.end())
        found->second->left = true;
}

void member_dialer::connect(const std::shared_ptr<peer> &target)
{
    auto socket = std::make_shared<asio::ip::tcp::socket>(m_context);
    const auto address = runtime::parseHostPort(target->member.address);
    boost::system::error_code code;
    const auto ip = asio::ip::make_address(address ? address->host : std::string(), code);
    if (code) {
        m_callbacks.failed("member " + target->member.node
                           + " has an invalid address: " + target->member.address);
        return;
    }
    const asio::ip::tcp::endpoint endpoint(ip, address->port);
    target->timer.expires_after(connectTimeout);
    target->timer.async_wait([socket](const error_code &failure) {
        error_code ignored;
        if (!failure)
            socket->close(ignored);
    });
    socket->async_connect(endpoint, [this, target, socket](const error_code &failure) {
        if (target->removed) // the dialer may be destroyed
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
        m_callbacks.failed(failure.what());
        return;
    }
    if (const auto *hello = content.content.Asmember_hello()) {
        target->member.node = hello->node;
        target->member.isAgent = hello->isAgent;
        target->formerlyOwned = hello->formerEpoch != 0;
        target->open = true;
        target->left = false;
        target->backoff = initialRetryDelay;
        m_peersByNode[target->member.node] = target;
        m_callbacks.opened(target->member);
    } else if (target->open) {
        m_callbacks.received(target->member, content);
    }
}

void member_dialer::onClosed(const std::shared_ptr<peer> &target)
{
    target->link = nullptr;
    if (std::exchange(target->open, false)) {
        target->lastSeen = steady::now();
        const auto entry = m_peersByNode.find(target->member.node);
        if (entry != m_peersByNode.end() && entry->second == target)
            m_peersByNode.erase(entry);
        m_callbacks.closed(target->member);
    }
    retry(target);
}

void member_dialer::retry(const std::shared_ptr<peer> &target)
{
    if (m_closed)
        return;
    if (steady::now() - target->lastSeen > unreachableTimeout) {
        target->removed = true;
        const sched::member member = target->member;
        m_peersByAddress.erase(member.address);
        m_callbacks.removed(member);
        return;
    }
    target->timer.expires_after(target->backoff);
    target->backoff = std::min(target->backoff * 2, maxRetryDelay);
    target->timer.async_wait([this, target](const error_code &failure) {
        if (!failure && !target->removed)
            connect(target);
    });
}

void member_dialer::send(const std::string &node, const sched::message &content)
{
    const auto found = m_peersByNode.find(node);
    if (found != m_peersByNode.end() && found->second->link)
        found->second->link->send(sched::encodeMessage(content));
}

void member_dialer::sendToAll(const sched::message &content, bool agents)
{
    const std::string frame = sched::encodeMessage(content);
    for (const auto &[node, target] : m_peersByNode) {
        if (target->member.isAgent == agents && target->link)
            target->link->send(frame);
    }
}

std::vector<std::string> member_dialer::agents() const
{
    std::vector<std::string> nodes;
    for (const auto &[address, target] : m_peersByAddress) {
        if (target->member.isAgent && (target->open || !target->left))
            nodes.push_back(target->member.node);
    }
    return nodes;
}

sched::member_contact member_dialer::contact() const
{
    const auto now = steady::now();
    sched::member_contact result{ .all = true };
    for (const auto &[address, target] : m_peersByAddress) {
        if (target->left && !target->open)
            continue;
        const bool heard =
                target->open && target->link && now - target->link->lastRead() <= maxSilence;
        result.all = result.all && heard;
        result.formerlyOwned = result.formerlyOwned || (heard && target->formerlyOwned);
    }
    return result;
}

void member_dialer::close()
{
    m_closed = true;
    for (const auto &[address, target] : m_peersByAddress) {
        target->removed = true;
        target->timer.cancel();
        if (target->link)
            target->link->close();
    }
    m_peersByAddress.clear();
    m_peersByNode.clear();
}

} // namespace plantainpitch::fleet
