#include "include/net/Program.h"

#include "include/observe/Events.h"

#include <boost/asio/signal_set.hpp>

#include <sys/resource.h>

#include <csignal>
#include <cstdio>
#include <limits>
#include <utility>

namespace onyx {

int FailWith(const Error& error) {
    std::fprintf(stderr, "%s\n", error.text().c_str());
    return error.code == ErrorCode::kBadInput ? kExitBadInput : kExitFailed;
}

bool ReadSettingsFile(const std::string& path, const std::function<void(SettingsReader&)>& read) {
    auto reader = SettingsReader::MakeFromFile(path);
    if (reader.has_error()) {
        FailWith(reader.error());
        return false;
    }
    read(reader.value());
    const std::string problems = reader.value().problems();
    std::fputs(problems.c_str(), stderr);
    return problems.empty();
}

size_t DescriptorLimit() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return std::numeric_limits<size_t>::max();
    }
    return limit.rlim_cur;
}

void RunUntilStopped(asio::io_context& io, const std::function<void()>& onStop) {
    std::signal(SIGPIPE, SIG_IGN);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    bool stopping = false;
    std::function<void(const boost::system::error_code&, int)> onSignal =
        [&](const boost::system::error_code& ec, int number) {
            if (ec) {
                return;
            }
            const bool isUnderWay = std::exchange(stopping, true);
            logEvent(Event::kStopping, {{"signal", number == SIGINT ? "SIGINT" : "SIGTERM"},
                                        {"under_way", isUnderWay ? "yes" : "no"}});
            signals.async_wait(onSignal);
            if (!isUnderWay) {
                onStop();
            }
        };
    signals.async_wait(onSignal);
    io.run();
}

}  // namespace onyx
