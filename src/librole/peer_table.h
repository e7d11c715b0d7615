#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/connection_id.h"
#include "plantainpitch/role/message/hello.h"
#include "plantainpitch/role/message/peer_digest.h"

#include <map>
#include <string>
#include <vector>

namespace plantainpitch::detail {

/// Another entry that this entry is connected with.
struct known_peer
{
    hello peer;
    peer_digest digest;
    instant lastDigest;
};

/// The entries connected with this one.
class peer_table
{
public:
    void onConnected(connection_id connection, const hello &peer);
    void onDigest(instant now, connection_id connection, const peer_digest &digest);
    void erase(connection_id connection) { m_peers.erase(connection); }

    /// Sorted names of this entry and of the ready peers heard of since \a limit.
    [[nodiscard]] std::vector<std::string> liveNames(const std::string &own, instant limit) const;
    [[nodiscard]] const std::map<connection_id, known_peer> &all() const { return m_peers; }

private:
    std::map<connection_id, known_peer> m_peers;
};

} // namespace plantainpitch::detail
