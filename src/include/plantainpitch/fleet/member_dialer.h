#pragma once

#include "plantainpitch/runtime/frame_link.h"
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

/// Keeps a connection from the owner of the partition to every member that has announced itself.
class member_dialer
{
public:
    struct callbacks
    {
        std::function<void(const sched::member &)> opened;
        std::function<void(const sched::member &)> closed;
        std::function<void(const sched::member &, const sched::message &)> received;
        /// The member could not be reached for longestUnreachable.
        std::function<void(const sched::member &)> gone;
        std::function<void(const std::string &problem)> failed;
    };

    /// VMs are replaced at other addresses; after this long, one is taken for replaced.
    static constexpr std::chrono::seconds longestUnreachable{ 20 };

    member_dialer(boost::asio::io_context &context, sched::owner_hello hello, callbacks calls);
    ~member_dialer();

    void add(const sched::member &found);
    /// \a node is the name of the member.
    void send(const std::string &node, const sched::message &content);
    void sendToAll(const sched::message &content, bool agents);
    /// Sends what is queued and closes all connections.
    void close();

    [[nodiscard]] std::vector<std::string> agents() const;

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
    callbacks m_calls;
    std::map<std::string, std::shared_ptr<peer>> m_peers; ///< by address
    std::map<std::string, std::shared_ptr<peer>> m_byNode;
    bool m_closed = false;
};

} // namespace plantainpitch::fleet
