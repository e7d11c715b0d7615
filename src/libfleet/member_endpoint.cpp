#include "plantainpitch/fleet/member_endpoint.h"

#include "plantainpitch/model/error.h"
#include "plantainpitch/sched/message_limits.h"
#include "plantainpitch/wire/frame_limits.h"

#include <utility>

namespace plantainpitch::fleet {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Delay after a failed accept, for example when the process is out of file descriptors.
constexpr std::chrono::milliseconds acceptRetryDelay{ 50 };

static_assert(sched::maxMessageBytes <= wire::maxFrameBytes);

/// Connections of which no owner has named itself; beyond it the oldest one is closed. An owner
/// names itself at once, and hardly more than two processes take each other for the owner.
constexpr std::size_t maxUnidentifiedLinks = 16;

} // namespace

member_endpoint::member_endpoint(asio::io_context &context, member_endpoint_options options,
                                 callbacks callbacks)
    : m_options(std::move(options))
    , m_callbacks(std::move(callbacks))
    , m_acceptor(context)
    , m_retryTimer(context)
{
    try {
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_options.address),
                                               m_options.port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
    } catch (const boost::system::system_error &failure) {
        throw error(error_kind::invalid_argument,
                    "cannot listen on " + m_options.address + ':' + std::to_string(m_options.port)
                            + ": " + failure.code().message(),
                    "choose a free port and an address of this VM");
    }
}

void member_endpoint::start()
{
    accept();
}

void member_endpoint::accept()
{
    m_acceptor.async_accept([this](const error_code &code, asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (!code) {
            serve(std::move(socket));
            accept();
            return;
        }
        m_callbacks.failed("cannot accept a connection: " + code.message());
        m_retryTimer.expires_after(acceptRetryDelay);
        m_retryTimer.async_wait([this](const error_code &failure) {
            if (!failure)
                accept();
        });
    });
}

void member_endpoint::serve(asio::ip::tcp::socket socket)
{
    auto link =
            std::make_shared<runtime::frame_link>(std::move(socket), runtime::frame_link_options{});
    link->setFrameLimit(wire::maxFirstFrameBytes);
    const std::weak_ptr<runtime::frame_link> weakLink = link;
    addUnidentified(weakLink);
    link->start({ .frame =
                          [this, weakLink](const std::string &frame) {
                              if (const auto from = weakLink.lock())
                                  onFrame(from, frame);
                          },
                  .closed =
                          [this, weakLink](const std::string &reason) {
                              if (reason == "bad_frame")
                                  m_callbacks.failed("the connection sent a bad frame");
                              if (weakLink.lock() != m_owner || !m_owner)
                                  return;
                              m_owner = nullptr;
                              m_callbacks.closed();
                          } });
}

void member_endpoint::addUnidentified(const std::weak_ptr<runtime::frame_link> &link)
{
    std::erase_if(m_unidentified, [](const auto &each) { return each.expired(); });
    if (m_unidentified.size() >= maxUnidentifiedLinks) {
        if (const auto oldest = m_unidentified.front().lock())
            oldest->close();
        m_unidentified.pop_front();
        m_callbacks.failed("too many connections on which no owner has named itself");
    }
    m_unidentified.push_back(link);
}

void member_endpoint::onFrame(const std::shared_ptr<runtime::frame_link> &link,
                              const std::string &frame)
{
    sched::message content;
    try {
        content = sched::decodeMessage(frame);
    } catch (const error &failure) {
        m_callbacks.failed(failure.what());
        return;
    }
    if (const auto *hello = content.content.Asowner_hello()) {
        if (!m_callbacks.opened(*hello)) {
            link->close();
            return;
        }
        std::erase_if(m_unidentified, [&link](const auto &each) { return each.lock() == link; });
        link->setFrameLimit(wire::maxFrameBytes);
        if (m_owner && m_owner != link)
            m_owner->close();
        m_owner = link;
        if (hello->epoch != m_epoch)
            m_formerEpoch = std::exchange(m_epoch, hello->epoch);
        sched::member_hello answer;
        answer.node = m_options.node;
        answer.isAgent = m_options.isAgent;
        answer.formerEpoch = m_formerEpoch;
        send(sched::makeMessage(answer));
        m_callbacks.ready();
        return;
    }
    if (link == m_owner)
        m_callbacks.received(std::move(content));
}

void member_endpoint::send(const sched::message &content)
{
    if (m_owner)
        m_owner->send(sched::encodeMessage(content));
}

void member_endpoint::close()
{
    error_code ignored;
    m_acceptor.close(ignored);
    m_retryTimer.cancel();
    if (m_owner)
        m_owner->close();
    m_owner = nullptr;
}

} // namespace plantainpitch::fleet
