#pragma once

#include "plantainpitch/runtime/frame_link.h"
#include "plantainpitch/sched/member_contact.h"
#include "plantainpitch/sched/messages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace plantainpitch::fleet {

/// Maintains a connection from the owner of the partition to every announced member.
class member_dialer
{
public:
    struct callbacks
    {
        std::function<void(const sched::member &)> opened;
        std::function<void(const sched::member &)> closed;
        std::function<void(const sched::member &, const sched::message &)> received;
        /// The member was unreachable for unreachableTimeout; there are no further retries.
        std::function<void(const sched::member &)> removed;
        std::function<void(const std::string &problem)> failed;
    };

    /// A replaced VM comes back at another address, so a member that is unreachable for this long
    /// is assumed to be replaced.
    static constexpr std::chrono::seconds unreachableTimeout{ 20 };

    /// A member that has sent nothing for longer does not count as heard. The keep-alives of a link
    /// are at most twice its keepAliveInterval apart.
    static constexpr std::chrono::milliseconds maxSilence{ 1'100 };

    member_dialer(boost::asio::io_context &context, sched::owner_hello hello, callbacks callbacks);
    ~member_dialer();

    void add(const sched::member &member);
    /// The member's announcement has been removed. Once its connection has closed, it is not among
    /// agents() any more, until it answers or announces itself again.
    void onLeft(const std::string &address);
    /// Does nothing if the member with the name \a node is not connected.
    void send(const std::string &node, const sched::message &content);
    /// Sends to all connected agents, or to all connected gateways if \a agents is false.
    void sendToAll(const sched::message &content, bool agents);
    /// Sends all queued messages and closes all connections.
    void close();

    /// Nodes of the agents that exist, connected or not.
    [[nodiscard]] std::vector<std::string> agents() const;
    [[nodiscard]] sched::member_contact contact() const;

private:
    struct peer;

    void connect(const std::shared_ptr<peer> &target);
    void onConnected(const std::shared_ptr<peer> &target,
                     const std::shared_ptr<boost::asio::ip::tcp::socket> &socket);
    void onFrame(const std::shared_ptr<peer> &target, const std::string &frame);
    void onClosed(const std::shared_ptr<peer> &target);
    void retry(const std::shared_ptr<peer> &target);

    boost::asio::io_context &m_context;
    const sched::owner_hello m_hello;
    callbacks m_callbacks;
    std::map<std::string, std::shared_ptr<peer>> m_peersByAddress;
    std::map<std::string, std::shared_ptr<peer>> m_peersByNode;
    bool m_closed = false;
};

} // namespace plantainpitch::fleet
