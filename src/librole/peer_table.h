#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/connection_id.h"
#include "plantainpitch/role/message/hello.h"
#include "plantainpitch/role/message/peer_digest.h"

#include <map>
#include <string>
#include <vector>

namespace plantainpitch::detail {

/// A connected peer entry and its last digest.
struct known_peer
{
    hello peer;
    peer_digest digest;
    instant lastDigest;
};

/// The peer entries connected to this entry.
class peer_table
{
public:
    void onConnected(connection_id connection, const hello &peer);
    void onDigest(instant now, connection_id connection, const peer_digest &digest);
    void erase(connection_id connection) { m_peers.erase(connection); }

    /// Sorted names of this entry and of the ready peers whose last digest is not older than
    /// \a oldestDigest.
    [[nodiscard]] std::vector<std::string> liveNames(const std::string &own,
                                                     instant oldestDigest) const;
    [[nodiscard]] const std::map<connection_id, known_peer> &all() const { return m_peers; }

private:
    std::map<connection_id, known_peer> m_peers;
};

} // namespace plantainpitch::detail
