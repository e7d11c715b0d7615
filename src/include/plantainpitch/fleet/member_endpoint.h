#pragma once

#include "plantainpitch/runtime/frame_link.h"
#include "plantainpitch/sched/messages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace plantainpitch::fleet {

struct member_endpoint_options
{
    std::string address; ///< IP address to listen on
    std::uint16_t port = 0;
    std::string node;
    bool isAgent = false;
};

/// Listens in a gateway or an agent for the connection of the partition's owner. A new owner's
/// connection replaces the one of the previous owner.
class member_endpoint
{
public:
    struct callbacks
    {
        /// Returns false to reject the owner because a newer one is known.
        std::function<bool(const sched::owner_hello &)> opened;
        std::function<void()> ready; ///< the owner is accepted; messages can be sent to it
        std::function<void(sched::message)> received;
        std::function<void()> closed;
        std::function<void(const std::string &problem)> failed;
    };

    /// Throws error(invalid_argument) if the address cannot be bound.
    member_endpoint(boost::asio::io_context &context, member_endpoint_options options,
                    callbacks callbacks);

    void start();
    void send(const sched::message &content);
    void close();
    [[nodiscard]] bool connected() const { return m_owner != nullptr; }

private:
    void accept();
    void serve(boost::asio::ip::tcp::socket socket);
    void addUnidentified(const std::weak_ptr<runtime::frame_link> &link);
    void onFrame(const std::shared_ptr<runtime::frame_link> &link, const std::string &frame);

    const member_endpoint_options m_options;
    callbacks m_callbacks;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    std::shared_ptr<runtime::frame_link> m_owner;
    /// Connections of which no owner has named itself, the oldest one first.
    std::deque<std::weak_ptr<runtime::frame_link>> m_unidentified;
    std::uint64_t m_epoch = 0; ///< of the last owner that was accepted
    std::uint64_t m_formerEpoch = 0; ///< of the owner before it
};

} // namespace plantainpitch::fleet
