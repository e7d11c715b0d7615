#pragma once

#include <boost/json.hpp>

#include <fstream>
#include <mutex>
#include <string>

namespace plantainpitch::standin {

/// File of JSON lines for observers of a test. Thread-safe.
class journal
{
public:
    /// An empty path: nothing is written.
    explicit journal(const std::string &path);

    void write(const boost::json::object &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace plantainpitch::standin
