#include "peer_table.h"

#include <set>

namespace plantainpitch::detail {

void peer_table::onConnected(connection_id connection, const hello &peer)
{
    m_peers[connection].peer = peer;
}

void peer_table::onDigest(instant now, connection_id connection, const peer_digest &digest)
{
    const auto it = m_peers.find(connection);
    if (it == m_peers.end())
        return;
    it->second.digest = digest;
    it->second.lastDigest = now;
}

std::vector<std::string> peer_table::liveNames(const std::string &own, instant oldestDigest) const
{
    std::set<std::string> names = { own };
    for (const auto &[connection, peer] : m_peers) {
        if (peer.digest.ready && peer.lastDigest >= oldestDigest)
            names.insert(peer.digest.name);
    }
    return { names.begin(), names.end() };
}

} // namespace plantainpitch::detail
