#include "support/journal.h"

namespace plantainpitch::standin {

journal::journal(const std::string &path)
{
    if (!path.empty())
        m_file.open(path, std::ios::app);
}

void journal::write(const boost::json::object &line)
{
    const std::lock_guard lock(m_mutex);
    // A whole line at once: observers read the file while it grows.
    if (m_file.is_open())
        m_file << boost::json::serialize(line) + '\n' << std::flush;
}

} // namespace plantainpitch::standin
