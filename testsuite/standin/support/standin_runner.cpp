#include "support/standin_runner.h"

#include "plantainpitch/model/error.h"
#include "plantainpitch/runtime/http_server.h"

#include <boost/asio/signal_set.hpp>

#include <iostream>
#include <thread>

namespace plantainpitch::standin {

int serve(boost::asio::io_context &context, runtime::http_server_options options,
          runtime::http_handler &handler)
{
    try {
        runtime::http_server server(context, std::move(options), handler);
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
        server.start();
        std::cout << "listening port=" << server.port() << std::endl;
        std::thread second([&context] { context.run(); });
        context.run();
        second.join();
        return 0;
    } catch (const error &e) {
        std::cerr << "error: " << e.what() << '\n';
        return 1;
    }
}

} // namespace plantainpitch::standin
