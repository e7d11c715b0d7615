#pragma once

#include "plantainpitch/runtime/http_handler.h"
#include "plantainpitch/runtime/http_server_options.h"

#include <boost/asio/io_context.hpp>

namespace plantainpitch::standin {

/// Serves on the port until SIGTERM or SIGINT; prints "listening port=N" to standard output once
/// it listens. Returns the exit code.
int serve(boost::asio::io_context &context, runtime::http_server_options options,
          runtime::http_handler &handler);

} // namespace plantainpitch::standin
