#pragma once

#include <boost/json/value.hpp>

#include <string>

namespace plantainpitch::ctl {

/// Indented "name: value" lines; arrays of objects become tables.
std::string renderText(const boost::json::value &value);

/// A scalar as text, without quotes.
std::string scalarText(const boost::json::value &value);

} // namespace plantainpitch::ctl
